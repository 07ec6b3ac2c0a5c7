// Package unit has the named types for ids and units that all other packages
// share, so that a number or a string never travels without its meaning.
package unit

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Ids. Each is unique within one deployment unless its comment says otherwise.
type (
	// EntryID names one entry process; a restarted process takes a new one.
	EntryID string
	// InstanceID names one instance of the platform's list. A worker is an
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
	// MachineID names a machine, on which one worker lives after another.
	MachineID string
	// TeamID names a team with a quota.
	TeamID string
	// JobID names a job.
	JobID string
	// CheckpointID names a checkpoint that one attempt wrote.
	CheckpointID string
	// RequestID names one request of a caller.
	RequestID string
	// OperationID names one change by an operator, so that a change whose
	// answer was lost can be found again.
	OperationID string
	// Operator names the person or tool behind a change.
	Operator string
)

// Counters that only rise.
type (
	// Attempt counts the attempts of one task, from 1.
	Attempt uint32
	// Epoch is the fencing token of a shard's ownership, from 1.
	Epoch uint64
	// WaveNumber names a wave of upkeep that an operator asked for.
	WaveNumber uint64
	// Revision is a version: of a store record, or of the configuration.
	Revision uint64
)

// TaskIndex is the position of a task within its job, from 0.
type TaskIndex uint32

// TaskID names one task of one job.
type TaskID struct {
	Job   JobID     `json:"job" cbor:"1,keyasint"`
	Index TaskIndex `json:"index" cbor:"2,keyasint"`
}

// String returns the form job/index.
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// ShardID names a group of racks of one zone with one owner.
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
