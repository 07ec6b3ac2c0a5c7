package credential

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Authority is an in-memory certificate authority, for tests and the demo.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// validity is the validity of the authority's certificate and of those that it
// issues. It is longer than any test or demo runs.
const validity = 7 * 24 * time.Hour

// NewAuthority creates an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Errorf("make key of authority: %w", err)
	}
	template := newTemplate("monsoonfold authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Errorf("make certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// IssueEntry issues a certificate for an entry with the given IP addresses.
func (a *Authority) IssueEntry(addresses ...net.IP) (Bundle, error) {
	template := newTemplate(EntryName)
	template.DNSNames = []string{EntryName}
	template.IPAddresses = addresses
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.issue(template)
}

// IssueOperator issues a client certificate for an operator; name is its common
// name.
func (a *Authority) IssueOperator(name string) (Bundle, error) {
	template := newTemplate(name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return a.issue(template)
}

func (a *Authority) issue(template *x509.Certificate) (Bundle, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Bundle{}, errors.Errorf("make key of %s: %w", template.Subject.CommonName, err)
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Bundle{}, errors.Errorf("issue certificate of %s: %w", template.Subject.CommonName, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Bundle{}, errors.Errorf("encode key of %s: %w", template.Subject.CommonName, err)
	}
	return Bundle{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("PRIVATE KEY", keyDER),
		Authority:   a.pem,
	}, nil
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour), // tolerates clock skew between the parties
		NotAfter:     now.Add(validity),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
