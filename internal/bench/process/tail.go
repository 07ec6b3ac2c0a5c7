package process

import "sync"

// tailSize is the number of bytes that a tail keeps: some fifty log lines.
const tailSize = 16 << 10

// tail keeps the last tailSize bytes that are written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (o *tail) Write(text []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = append(o.text, text[max(0, len(text)-tailSize):]...)
	if excess := len(o.text) - tailSize; excess > 0 {
		o.text = append(o.text[:0], o.text[excess:]...)
	}
	return len(text), nil
}

func (o *tail) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.text)
}
