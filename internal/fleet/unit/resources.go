package unit

// Quantities.
type (
	// Millicores are thousandths of a processor core.
	Millicores int64
	// Bytes are bytes of memory or of messages.
	Bytes int64
	// BitRate is the capacity of a network link in bits per second.
	BitRate int64
	// Accelerators are whole accelerator devices.
	Accelerators int32
)

// Resources is a vector of resources that a task needs or a worker has.
type Resources struct {
	Cores        Millicores   `json:"cores" cbor:"1,keyasint"`
	Memory       Bytes        `json:"memory" cbor:"2,keyasint"`
	Accelerators Accelerators `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r - o, which may have negative components.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Cores:        r.Cores - o.Cores,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Fits reports whether every component of r is at most that of free.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Valid reports whether no component is negative and at least one is positive.
func (r Resources) Valid() bool {
	return r.Cores >= 0 && r.Memory >= 0 && r.Accelerators >= 0 && r != Resources{}
}
