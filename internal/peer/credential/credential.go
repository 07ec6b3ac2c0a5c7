// Package credential provides the certificates with which entries and operators
// authenticate each other. They are read from files and can be replaced at run time;
// existing connections keep theirs.
package credential

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// EntryName is the DNS name in the certificate of every entry. Entries reach each
// other by IP address; the name distinguishes them from other holders of a
// certificate of the same authority, such as operators.
const EntryName = "entry.monsoonfold"

// Files holds the paths of the PEM files.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"` // certificates of the authority that issues those of the peers
}

// Bundle is a certificate, its key and the certificates of the trusted authority, in
// PEM form.
type Bundle struct {
	Certificate, Key, Authority []byte
}

// Source provides the current certificates. It is safe for concurrent use.
type Source struct {
	files   Files // empty for a source without files
	current atomic.Pointer[loaded]
}

type loaded struct {
	bundle      Bundle
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load returns a source of the certificates in the files, which Reload reads again.
func Load(files Files) (*Source, error) {
	s := &Source{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// NewSource returns a source of the bundle. It has no files; only Replace changes it.
func NewSource(p Bundle) (*Source, error) {
	s := &Source{}
	if err := s.Replace(p); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether they changed. If they are
// invalid, the current certificates stay in use.
func (s *Source) Reload() (changed bool, err error) {
	if s.files == (Files{}) {
		return false, nil
	}
	var p Bundle
	for _, f := range []struct {
		path string
		into *[]byte
	}{{s.files.Certificate, &p.Certificate}, {s.files.Key, &p.Key}, {s.files.Authority, &p.Authority}} {
		if *f.into, err = os.ReadFile(f.path); err != nil {
			return false, errors.Errorf("read credentials: %w", err)
		}
	}
	if c := s.current.Load(); c != nil && bytes.Equal(c.bundle.Certificate, p.Certificate) &&
		bytes.Equal(c.bundle.Key, p.Key) && bytes.Equal(c.bundle.Authority, p.Authority) {
		return false, nil
	}
	return true, s.Replace(p)
}

// Replace makes new connections use the bundle.
func (s *Source) Replace(p Bundle) error {
	certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return errors.Errorf("parse certificate and key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p.Authority) {
		return errors.New("parse authority: no certificate found")
	}
	s.current.Store(&loaded{bundle: p, certificate: certificate, authority: pool})
	return nil
}

// EntryServer returns the configuration of a server that accepts only entries.
func (s *Source) EntryServer(protocols ...string) *tls.Config {
	return s.server(tls.RequireAndVerifyClientCert, verifyEntry, protocols)
}

// OperatorServer returns the configuration of a server that verifies the
// certificate of a client if it presents one.
func (s *Source) OperatorServer(protocols ...string) *tls.Config {
	return s.server(tls.VerifyClientCertIfGiven, nil, protocols)
}

// EntryClient returns the configuration of a client that connects to an entry, with
// the current certificates.
func (s *Source) EntryClient(protocols ...string) *tls.Config {
	c := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.authority,
		ServerName:   EntryName,
		NextProtos:   protocols,
	}
}

// server returns a configuration that uses the current certificates for each new
// connection.
func (s *Source) server(auth tls.ClientAuthType, verify func(tls.ConnectionState) error, protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := s.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{c.certificate},
				ClientAuth:       auth,
				ClientCAs:        c.authority,
				VerifyConnection: verify,
				NextProtos:       protocols,
			}, nil
		},
	}
}

func verifyEntry(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	if err := state.PeerCertificates[0].VerifyHostname(EntryName); err != nil {
		return errors.Errorf("peer is no entry: %w", err)
	}
	return nil
}
