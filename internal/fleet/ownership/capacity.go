package ownership

import (
	"math"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Capacity is what an entry may use of its machine. A component is 0 if it is not known.
type Capacity struct {
	Cores  unit.Millicores `cbor:"1,keyasint,omitempty"`
	Memory unit.Bytes      `cbor:"2,keyasint,omitempty"`
	Link   unit.BitRate    `cbor:"3,keyasint,omitempty"`
}

// referenceCapacity is about what an owner of 300 workers uses.
var referenceCapacity = Capacity{Cores: 200, Memory: 160 << 20, Link: 20_000_000}

// capacityClass is a group of entries that are equally suited to own the shard; a higher
// one is suited better.
type capacityClass int

// Capacity classes. Above smallCapacity each class has twice the capacity of the one
// before it.
const (
	unknownCapacity capacityClass = iota // also entries of versions that register without it
	smallCapacity                        // less than referenceCapacity
	referenceClass
	maxCapacityClass = referenceClass + 4
)

// class returns the class of the scarcest component.
func (c Capacity) class() capacityClass {
	if c.Cores <= 0 || c.Memory <= 0 || c.Link <= 0 {
		return unknownCapacity
	}
	scarcest := min(
		float64(c.Cores)/float64(referenceCapacity.Cores),
		float64(c.Memory)/float64(referenceCapacity.Memory),
		float64(c.Link)/float64(referenceCapacity.Link),
	)
	if scarcest < 1 {
		return smallCapacity
	}
	return min(referenceClass+capacityClass(math.Log2(scarcest)), maxCapacityClass)
}
