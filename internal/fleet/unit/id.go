// Package unit defines the types of ids and quantities that all other packages share,
// so that the compiler keeps ids and quantities of different kinds apart.
package unit

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Ids. Each is unique within one deployment unless its comment says otherwise.
type (
	// EntryID names one entry process. A process has a new id after a restart.
	EntryID string
	// InstanceID names an instance in the platform's instance list. A worker is an
	// instance that runs tasks.
	InstanceID string
	// ZoneID names an availability zone, such as guj-morbi.
	ZoneID string
	// RackID names a rack within its zone.
	RackID string
	// ServiceID names an upstream service, such as order-desk.
	ServiceID string
	// ClassID names a class of work.
	ClassID string
	// MachineID names a machine, which runs at most one worker at a time.
	MachineID string
	// TeamID names a team with a quota.
	TeamID string
	// OrganisationID names an organisation, which owns API keys, a share and a quota. It is
	// empty for callers and jobs without one.
	OrganisationID string
	// JobID names a job.
	JobID string
	// CheckpointID names a checkpoint written by one attempt.
	CheckpointID string
	// RequestID names one request of a caller.
	RequestID string
	// OperationID names one change by an operator, so that its outcome can be
	// looked up after the response was lost.
	OperationID string
	// Operator names the person or tool that made a change.
	Operator string
)

// Counters that only increase.
type (
	// Attempt is the number of one attempt of a task, from 1.
	Attempt uint32
	// Epoch is the fencing token of a shard's ownership, from 1.
	Epoch uint64
	// WaveNumber is the number of a wave of upkeep that an operator requested.
	WaveNumber uint64
	// Revision is the version of a store record or of the configuration.
	Revision uint64
)

// TaskIndex is the position of a task within its job, from 0.
type TaskIndex uint32

// TaskID identifies one task of one job.
type TaskID struct {
	Job   JobID     `json:"job" cbor:"1,keyasint"`
	Index TaskIndex `json:"index" cbor:"2,keyasint"`
}

// String returns the form job/index.
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// ShardID identifies a shard: a group of racks of one zone that has one owner.
type ShardID struct {
	Zone   ZoneID `json:"zone" cbor:"1,keyasint"`
	Bucket uint16 `json:"bucket" cbor:"2,keyasint"`
}

// String returns the form zone.bucket, which is also the key of its records.
func (s ShardID) String() string {
	return string(s.Zone) + "." + strconv.FormatUint(uint64(s.Bucket), 10)
}

// ParseShardID parses the form zone.bucket.
func ParseShardID(text string) (ShardID, error) {
	dot := strings.LastIndexByte(text, '.')
	if dot <= 0 {
		return ShardID{}, errors.Errorf("shard id %q: want zone.bucket", text)
	}
	bucket, err := strconv.ParseUint(text[dot+1:], 10, 16)
	if err != nil {
		return ShardID{}, errors.Errorf("shard id %q: bucket: %w", text, err)
	}
	return ShardID{Zone: ZoneID(text[:dot]), Bucket: uint16(bucket)}, nil
}
