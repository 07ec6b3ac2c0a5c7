// Package keys generates keys for trials: the demo, tests and first experiments. A
// deployment uses keys of its own authority.
package keys

import (
	"crypto/rand"
	"encoding/json"
	"net"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/api"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
)

// Names of the files that WriteFiles writes.
const (
	AuthorityFile   = "ca.pem"
	CertificateFile = "entry.pem"
	KeyFile         = "entry.key"
	OperatorsFile   = "tokens.json" // operators with the hashes of their tokens, for the entries
	TokenFile       = "token"       // bearer token, for the operator
)

// WriteFiles generates an authority, one certificate for entries at the addresses
// and a token of one operator, and writes them to the folder.
func WriteFiles(folder string, operator unit.Operator, ips []net.IP) error {
	authority, err := credential.NewAuthority()
	if err != nil {
		return errors.Errorf("make authority: %w", err)
	}
	bundle, err := authority.IssueEntry(ips...)
	if err != nil {
		return errors.Errorf("make certificate: %w", err)
	}
	token := rand.Text()
	operatorsData, err := json.MarshalIndent(struct {
		Operators []api.Operator `json:"operators"`
	}{[]api.Operator{{Name: operator, Role: api.RoleOperator, Token: api.HashToken(token)}}}, "", "  ")
	if err != nil {
		return errors.Errorf("encode operators: %w", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Errorf("make folder: %w", err)
	}
	files := []struct {
		name string
		data []byte
	}{
		{AuthorityFile, bundle.Authority},
		{CertificateFile, bundle.Certificate},
		{KeyFile, bundle.Key},
		{OperatorsFile, operatorsData},
		{TokenFile, []byte(token + "\n")},
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.name), f.data, 0o600); err != nil {
			return errors.Errorf("write key: %w", err)
		}
	}
	return nil
}
