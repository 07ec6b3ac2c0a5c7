package kv

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// ServiceName is the name of the service in a kernel that implements Doer.
const ServiceName registry.Name = "store"

// Find returns a client over the store's service.
func Find(k *registry.Kernel) (Client, error) {
	doer, err := registry.Find[Doer](k, ServiceName)
	if err != nil {
		return Client{}, errors.Errorf("find store: %w", err)
	}
	return Client{Doer: doer}, nil
}
