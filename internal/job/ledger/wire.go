package ledger

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// The stored form holds each worker id once and refers to it by position. Written
// in full, the ids would take a third of the ledger.
type (
	wireLedger struct {
		Version uint8             `cbor:"1,keyasint"`
		Epoch   unit.Epoch        `cbor:"2,keyasint"`
		Write   uint64            `cbor:"3,keyasint"`
		Workers []unit.InstanceID `cbor:"4,keyasint,omitempty"`
		Jobs    []wireJob         `cbor:"5,keyasint,omitempty"`
	}
	wireJob struct {
		_        struct{} `cbor:",toarray"`
		ID       unit.JobID
		Finished []byte
		Failed   uint32
		Tasks    []wireTask
	}
	wireTask struct {
		_          struct{} `cbor:",toarray"`
		Index      unit.TaskIndex
		State      State
		Attempt    unit.Attempt
		Worker     uint32 // position in wireLedger.Workers, from 1; 0 means no worker
		After      unit.Attempt
		Checkpoint unit.CheckpointID
		FailedOn   []uint32
		Hops       uint8
	}
)

func toWire(l Ledger) wireLedger {
	w := wireLedger{Version: version, Epoch: l.Epoch, Write: l.Write}
	positions := map[unit.InstanceID]uint32{}
	position := func(id unit.InstanceID) uint32 {
		if id == "" {
			return 0
		}
		if positions[id] == 0 {
			w.Workers = append(w.Workers, id)
			positions[id] = uint32(len(w.Workers))
		}
		return positions[id]
	}
	for _, j := range l.Jobs {
		wj := wireJob{ID: j.ID, Finished: j.Finished, Failed: j.Failed}
		for _, t := range j.Tasks {
			wt := wireTask{
				Index: t.Index, State: t.State, Attempt: t.Attempt, Worker: position(t.Worker),
				After: t.After, Checkpoint: t.Checkpoint, Hops: t.Hops,
			}
			for _, id := range t.FailedOn {
				wt.FailedOn = append(wt.FailedOn, position(id))
			}
			wj.Tasks = append(wj.Tasks, wt)
		}
		w.Jobs = append(w.Jobs, wj)
	}
	return w
}

func (w wireLedger) ledger() (Ledger, error) {
	l := Ledger{Epoch: w.Epoch, Write: w.Write}
	workerID := func(position uint32) (unit.InstanceID, error) {
		if position == 0 {
			return "", nil
		}
		if int64(position) > int64(len(w.Workers)) || w.Workers[position-1] == "" {
			return "", errors.Errorf("worker %d of %d: %w", position, len(w.Workers), ErrInvalid)
		}
		return w.Workers[position-1], nil
	}
	for _, wj := range w.Jobs {
		j := Job{ID: wj.ID, Finished: wj.Finished, Failed: wj.Failed}
		for _, wt := range wj.Tasks {
			worker, err := workerID(wt.Worker)
			if err != nil {
				return Ledger{}, err
			}
			t := Task{
				Index: wt.Index, State: wt.State, Attempt: wt.Attempt, Worker: worker,
				After: wt.After, Checkpoint: wt.Checkpoint, Hops: wt.Hops,
			}
			for _, position := range wt.FailedOn {
				id, err := workerID(position)
				if err != nil {
					return Ledger{}, err
				}
				t.FailedOn = append(t.FailedOn, id)
			}
			j.Tasks = append(j.Tasks, t)
		}
		l.Jobs = append(l.Jobs, j)
	}
	return l, nil
}
