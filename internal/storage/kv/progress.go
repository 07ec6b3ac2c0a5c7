package kv

import "context"

// progressKey is the key of the progress function of a context.
type progressKey struct{}

// WithProgress returns a context whose calls report each part of an answer that
// arrives, so that a long answer can be told from a silent connection. A progress function
// that the context already has is called too.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, func() {
		ReportProgress(ctx)
		report()
	})
}

// ReportProgress reports that a part of the answer to the call of the context arrived.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}
