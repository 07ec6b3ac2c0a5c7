package kv

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// ServiceName is the name under which a kernel holds the service that implements Doer.
const ServiceName registry.Name = "store"

// Find returns a client that uses the store service of the kernel.
func Find(k *registry.Kernel) (Client, error) {
	doer, err := registry.Find[Doer](k, ServiceName)
	if err != nil {
		return Client{}, errors.Errorf("find store: %w", err)
	}
	return Client{Doer: doer}, nil
}
