package worker

import (
	"testing"

	"github.com/go-faster/errors"
)

// FuzzDecodeReply guards against a response that makes the decoder panic, and
// against a success or a stale epoch that does not match the status.
func FuzzDecodeReply(f *testing.F) {
	f.Add(200, []byte(`{"clock":1,"boot":"b","state":"serving","tasks":[{"task":{"job":"j","index":0},"attempt":1}]}`))
	f.Add(409, []byte(`{"epoch":7}`))
	f.Add(500, []byte(`null`))
	f.Fuzz(func(t *testing.T, status int, answer []byte) {
		var report Report
		err := decodeReply(status, answer, &report)
		if err == nil && status != 200 {
			t.Errorf("status %d decoded as a success", status)
		}
		if errors.Is(err, ErrStaleEpoch) && status != 409 {
			t.Errorf("status %d decoded as a stale epoch", status)
		}
	})
}
