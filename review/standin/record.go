package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the lines of record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// add writes a line with the seconds since the start.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // a full disk shows as a short record
}
