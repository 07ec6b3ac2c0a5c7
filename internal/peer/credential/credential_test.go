package credential

import (
	"os"
	"path/filepath"
	"testing"
)

// TestReload guards against invalid or half-written files replacing the
// certificates in use, and against a renewal that is not detected.
func TestReload(t *testing.T) {
	a, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := Files{filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}
	write := func(p Bundle) {
		for path, data := range map[string][]byte{files.Certificate: p.Certificate, files.Key: p.Key, files.Authority: p.Authority} {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	first, err := a.IssueEntry()
	if err != nil {
		t.Fatal(err)
	}
	second, err := a.IssueEntry()
	if err != nil {
		t.Fatal(err)
	}
	write(first)
	s, err := Load(files)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		bundle  Bundle
		changed bool
		wantErr bool
		inUse   Bundle
	}{
		{"same files", first, false, false, first},
		{"key of another certificate", Bundle{second.Certificate, first.Key, first.Authority}, true, true, first},
		{"no authority", Bundle{second.Certificate, second.Key, nil}, true, true, first},
		{"renewed", second, true, false, second},
	}
	for _, tt := range tests {
		write(tt.bundle)
		changed, err := s.Reload()
		if changed != tt.changed || (err != nil) != tt.wantErr {
			t.Errorf("%s: Reload = %v, %v", tt.name, changed, err)
		}
		if string(s.current.Load().bundle.Certificate) != string(tt.inUse.Certificate) {
			t.Errorf("%s: another certificate is in use", tt.name)
		}
	}
}
