// Package guard turns panics into errors where a process handles what other processes
// have written or sent, so that one malformed message does not end the process.
package guard

import (
	"expvar"
	"fmt"
	"runtime/debug"
)

// panics counts the recovered panics.
var panics = expvar.NewInt("panics")

// PanicError is a recovered panic.
type PanicError struct {
	Value any    // that panic was called with
	Stack []byte // of the goroutine that panicked
}

// Error implements error. It contains the stack, since nothing else shows where the fault is.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Call calls f and returns its error, or a PanicError if f panics. Whatever f was changing
// may be left half changed: the caller has to drop it.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(1)
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}

// Value is like Call for a function with a result, which is the zero value after a panic.
func Value[T any](f func() (T, error)) (T, error) {
	var value T
	err := Call(func() error {
		var err error
		value, err = f()
		return err
	})
	return value, err
}
