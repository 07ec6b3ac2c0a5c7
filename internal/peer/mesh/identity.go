package mesh

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/go-faster/errors"
)

// Fingerprint is the SHA-256 hash of an entry's certificate in hexadecimal. Entries
// publish it in the store and trust each other's certificates by it.
type Fingerprint string

// protocol is the ALPN protocol of the message format. A change of the format that
// older entries cannot read needs a new name.
const protocol = "monsoonfold-mesh/1"

// certificateValidity is the validity of the certificate of a process. A process
// creates a new one at each start.
const certificateValidity = 365 * 24 * time.Hour

var errUntrusted = errors.New("certificate of no known entry")

// newCertificate creates the key and the self-signed certificate of this process.
func newCertificate(now time.Time) (tls.Certificate, Fingerprint, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, "", errors.Errorf("generate key: %w", err)
	}
	template := x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "monsoonfold entry"},
		NotBefore:    now.Add(-time.Hour), // tolerates clock skew between instances
		NotAfter:     now.Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, public, private)
	if err != nil {
		return tls.Certificate{}, "", errors.Errorf("create certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, fingerprint(der), nil
}

func fingerprint(der []byte) Fingerprint {
	sum := sha256.Sum256(der)
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// tlsConfig returns a configuration that accepts only peers whose certificate's
// fingerprint is trusted.
func tlsConfig(own tls.Certificate, trusted func(Fingerprint) bool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{own},
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAnyClientCert,
		// There is no certificate authority; VerifyConnection checks the fingerprint.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) != 1 || !trusted(fingerprint(state.PeerCertificates[0].Raw)) {
				return errUntrusted
			}
			return nil
		},
	}
}
