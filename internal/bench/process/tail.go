package process

import "sync"

// tailSize is the number of bytes that a tail keeps: some fifty log lines.
const tailSize = 16 << 10

// tail keeps the last tailSize bytes that are written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(text []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, text[max(0, len(text)-tailSize):]...)
	if excess := len(t.text) - tailSize; excess > 0 {
		t.text = append(t.text[:0], t.text[excess:]...)
	}
	return len(text), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
