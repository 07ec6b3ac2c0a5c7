package store

import (
	"testing"

	"github.com/go-faster/errors"
)

// FuzzDecodeAnswer guards against an answer that crashes the decoder, and against
// an error of the service that is reported as a success or as having had no effect.
func FuzzDecodeAnswer(f *testing.F) {
	f.Add(200, []byte(`{"records":[{"key":"a","value":"AQ==","revision":1}],"revision":1}`))
	f.Add(503, []byte(`outage`))
	f.Add(500, []byte(``))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		var s Snapshot
		err := decodeAnswer(status, data, &s)
		if err == nil && status != 200 {
			t.Errorf("status %d is reported as a success", status)
		}
		if errors.Is(err, ErrUnavailable) && status != 503 && status != 429 {
			t.Errorf("status %d is reported as having no effect", status)
		}
	})
}
