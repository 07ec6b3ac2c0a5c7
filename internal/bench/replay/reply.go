package replay

import "time"

// reply is the end of a request in flight. Its boot differs from that of the node
// if the worker failed before the request ended.
type reply struct {
	at      time.Duration
	latency time.Duration
	entry   int
	node    int
	class   int
	boot    int
}

type replies []reply

func (r replies) Len() int           { return len(r) }
func (r replies) Less(i, j int) bool { return r[i].at < r[j].at }
func (r replies) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *replies) Push(x any)        { *r = append(*r, x.(reply)) }
func (r *replies) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

type timer struct {
	at time.Duration
	do func()
}
