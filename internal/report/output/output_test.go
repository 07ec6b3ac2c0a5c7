package output

import (
	"bufio"
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFlood guards against lines of one kind that hide those of another, and
// against lines that are left out without a word.
func TestFlood(t *testing.T) {
	tests := []struct {
		name         string
		lines        int // of the kind that floods
		atMost, left int
	}{
		{"few lines", 100, 100, 0},
		{"flood", 5000, kindBurst + kindPerSecond, 5000 - kindBurst - kindPerSecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var to bytes.Buffer
			w := New(&to)
			log := w.Logger(slog.LevelInfo)
			for i := range tt.lines {
				log.Info("worker listed", "number", i)
			}
			log.Info("shard taken over", "epoch", 2)
			w.Close()
			<-w.Done()
			kinds, left := count(t, &to)
			if kinds["worker listed"] > tt.atMost {
				t.Errorf("%d lines of the flood, want %d at most", kinds["worker listed"], tt.atMost)
			}
			if diff := cmp.Diff(1, kinds["shard taken over"]); diff != "" {
				t.Errorf("lines of the other kind (-want +got):\n%s", diff)
			}
			if left < tt.left || left+kinds["worker listed"] != tt.lines {
				t.Errorf("%d lines left out and %d written of %d", left, kinds["worker listed"], tt.lines)
			}
		})
	}
}

// count returns the lines by kind and how many are said to be left out.
func count(t *testing.T, from *bytes.Buffer) (map[string]int, int) {
	kinds, left := map[string]int{}, 0
	for scanner := bufio.NewScanner(from); scanner.Scan(); {
		var line struct {
			Time  time.Time `json:"time"`
			Text  string    `json:"msg"`
			Count int       `json:"count"`
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Time.IsZero() {
			t.Errorf("line %s: %v", scanner.Text(), err)
		}
		kinds[line.Text]++
		left += line.Count
	}
	return kinds, left
}

// stuck is a destination that takes nothing until it is released.
type stuck chan struct{}

func (s stuck) Write(b []byte) (int, error) {
	<-s
	return len(b), nil
}

// TestFullPipe guards against a caller that waits for a destination.
func TestFullPipe(t *testing.T) {
	to := make(stuck)
	w := New(to)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 2 * queueLines {
			_, _ = w.Write([]byte("{}\n")) // never fails
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Error("the caller waits for the destination")
	}
	close(to)
	w.Close()
	<-w.Done()
}
