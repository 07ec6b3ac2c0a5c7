package follower

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// textDecoder decodes items of the form "address sequence". Others cannot be decoded.
type textDecoder struct{}

func (textDecoder) Prefix() kv.Key { return "workers/" }

func (textDecoder) Listing(i kv.Item) (scheduler.Listing, error) {
	address, _, ok := strings.Cut(string(i.Value), " ")
	switch {
	case address == "fault":
		panic("fault in the decoder")
	case !ok:
		return scheduler.Listing{}, errors.Errorf("odd item %q", i.Value)
	}
	return scheduler.Listing{ID: unit.InstanceID(i.Key), Address: address, Labels: []string{"r1"}}, nil
}

func put(key kv.Key, value string, revision unit.Revision) kv.Item {
	return kv.Item{Key: key, Value: []byte(value), Revision: revision}
}

func removed(key kv.Key, revision unit.Revision) kv.Item {
	return kv.Item{Key: key, Revision: revision, Deleted: true}
}

// listStep is one read of a list.
type listStep struct {
	all    bool // a list of all items, which began at the revision
	events []kv.Item
	read   unit.Revision
}

// shownItem is an item of an answer.
type shownItem struct {
	key      kv.Key
	revision unit.Revision
	deleted  bool
}

// TestChangesSince guards against an answer without a change that the owner lacks, and
// against one with heartbeats in which nothing else has changed.
func TestChangesSince(t *testing.T) {
	begin := listStep{true, []kv.Item{put("a", "x 1", 3), put("b", "x 1", 5)}, 6}
	first := listStep{false, nil, 6}
	type question struct {
		since    unit.Revision
		complete bool
		want     []shownItem
	}
	tests := []struct {
		name      string
		steps     []listStep
		questions []question
	}{
		{"first read", []listStep{begin, first}, []question{
			{6, false, nil},
			{5, true, []shownItem{{"a", 3, false}, {"b", 5, false}}},
			{0, true, []shownItem{{"a", 3, false}, {"b", 5, false}}},
		}},
		{"heartbeats", []listStep{begin, first, {false, []kv.Item{put("a", "x 2", 7), put("b", "x 2", 8)}, 8}}, []question{
			{6, false, nil},
			{7, false, []shownItem{{"b", 8, false}}}, // not the revision of a read
			{8, false, nil},
		}},
		{"change, then heartbeat", []listStep{begin, first, {false, []kv.Item{put("a", "y 2", 7)}, 7}, {false, []kv.Item{put("a", "y 3", 8)}, 9}}, []question{
			{6, false, []shownItem{{"a", 8, false}}},
			{7, false, nil},
			{9, false, nil},
		}},
		{"changed and changed back in one read", []listStep{begin, first, {false, []kv.Item{put("a", "y 2", 7), put("a", "x 3", 8)}, 8}}, []question{
			{6, false, []shownItem{{"a", 8, false}}},
			{7, false, []shownItem{{"a", 8, false}}},
			{8, false, nil},
		}},
		{"changed and changed back unseen", []listStep{begin, first, {false, []kv.Item{put("a", "x 3", 8)}, 9}}, []question{
			{6, false, nil},
			{7, false, []shownItem{{"a", 8, false}}}, // the owner may have read the change directly
			{9, false, nil},
		}},
		{"removed", []listStep{begin, first, {false, []kv.Item{removed("a", 7)}, 7}}, []question{
			{6, false, []shownItem{{"a", 7, true}}},
			{7, false, nil},
			{5, true, []shownItem{{"b", 5, false}}},
		}},
		{"removed and written again", []listStep{begin, first, {false, []kv.Item{removed("a", 7), put("a", "x 1", 8)}, 8}}, []question{
			{6, false, []shownItem{{"a", 8, false}}},
			{8, false, nil},
		}},
		{"removed before its page was listed", []listStep{begin, {false, []kv.Item{removed("c", 7)}, 7}}, []question{
			{6, false, []shownItem{{"c", 7, true}}},
			{7, false, nil},
		}},
		{"new", []listStep{begin, first, {false, []kv.Item{put("c", "x 1", 7)}, 8}}, []question{
			{6, false, []shownItem{{"c", 7, false}}},
			{8, false, nil},
		}},
		{"odd item", []listStep{begin, first, {false, []kv.Item{put("a", "odd", 7)}, 7}, {false, []kv.Item{put("a", "fault ", 8)}, 8}, {false, []kv.Item{put("a", "x 1", 9)}, 9}}, []question{
			{6, false, []shownItem{{"a", 9, false}}},
			{7, false, []shownItem{{"a", 9, false}}},
			{8, false, []shownItem{{"a", 9, false}}},
			{9, false, nil},
		}},
		{"odd item stays odd", []listStep{begin, first, {false, []kv.Item{put("a", "odd", 7)}, 7}, {false, []kv.Item{put("a", "odder", 8)}, 8}}, []question{
			{6, false, []shownItem{{"a", 8, false}}},
			{7, false, nil},
		}},
		{"history gone", []listStep{begin, first, {true, []kv.Item{put("b", "x 9", 11), put("c", "x 1", 9)}, 12}, {false, nil, 13}}, []question{
			{5, true, []shownItem{{"c", 9, false}, {"b", 11, false}}},
			{6, false, []shownItem{{"c", 9, false}, {"a", 12, true}}},
			{10, false, []shownItem{{"b", 11, false}, {"a", 12, true}}},
			{13, false, nil},
		}},
		{"item written while the list is read", []listStep{begin, first, {true, []kv.Item{put("a", "y 1", 14), put("b", "x 1", 5)}, 12}, {false, []kv.Item{put("a", "x 2", 13), put("a", "y 1", 14)}, 14}}, []question{
			{6, false, []shownItem{{"a", 14, false}}},
			{14, false, nil},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newList(textDecoder{})
			for _, step := range tt.steps {
				if step.all {
					l.replace(step.events, step.read)
				} else {
					l.applyChanges(step.events, step.read)
				}
			}
			for _, q := range tt.questions {
				got := l.changesSince(q.since)
				var shown []shownItem
				for _, item := range got.Items {
					shown = append(shown, shownItem{item.Key, item.Revision, item.Deleted})
				}
				if diff := cmp.Diff(q.want, shown, cmp.AllowUnexported(shownItem{})); diff != "" {
					t.Errorf("items since %d (-want +got):\n%s", q.since, diff)
				}
				if diff := cmp.Diff(q.complete, got.Complete); diff != "" {
					t.Errorf("complete since %d (-want +got):\n%s", q.since, diff)
				}
				if diff := cmp.Diff(l.read(), got.Revision); diff != "" {
					t.Errorf("revision since %d (-want +got):\n%s", q.since, diff)
				}
			}
		})
	}
}

// TestListBounds guards against a list that grows with each worker that leaves or with each
// read, and against an answer that lacks a removal which was forgotten.
func TestListBounds(t *testing.T) {
	tests := []struct {
		name     string
		removals int
		complete bool // for a view from before them
		entries  int
	}{
		{"some workers have left", maxRemovals, false, maxRemovals + 1},
		{"many workers have left", maxRemovals + 1, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newList(textDecoder{})
			l.replace([]kv.Item{put("a", "x 1", 3)}, 6)
			l.applyChanges(nil, 6)
			revision := unit.Revision(6)
			for range tt.removals {
				revision++
				l.applyChanges([]kv.Item{removed(kv.Key(fmt.Sprint("gone/", revision)), revision)}, revision)
			}
			if diff := cmp.Diff(tt.complete, l.changesSince(6).Complete); diff != "" {
				t.Errorf("complete (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.entries, len(l.entries)); diff != "" {
				t.Errorf("entries (-want +got):\n%s", diff)
			}
			if len(l.reads) > maxReads {
				t.Errorf("%d reads kept, want at most %d", len(l.reads), maxReads)
			}
			if diff := cmp.Diff(0, len(l.changesSince(revision).Items)); diff != "" {
				t.Errorf("items for a view of the last read (-want +got):\n%s", diff)
			}
		})
	}
}
