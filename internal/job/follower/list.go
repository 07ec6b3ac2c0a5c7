package follower

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

const (
	// maxRemovals is the number of removed items that a list keeps.
	maxRemovals = 1024
	// maxReads is the number of reads whose revisions a list keeps. A caller that asks for
	// the changes since one of them gets the fewest items.
	maxReads = 256
)

// Changes is what a reader of the instance list lacks.
type Changes struct {
	Items    []kv.Item     // sorted by revision
	Revision unit.Revision // up to which nothing is missing
	Complete bool          // the items are the whole list
}

// decoder decodes items of the instance list.
type decoder interface {
	Prefix() kv.Key
	Listing(kv.Item) (scheduler.Listing, error)
}

// list is the instance list as of the last read.
type list struct {
	decoder decoder
	entries map[kv.Key]entry
	// floor is the revision after which all changes are known. A caller whose view is older
	// needs all items.
	floor unit.Revision
	reads []unit.Revision // that the latest reads have shown, rising
	// removals is the number of entries that are removed items.
	removals int
}

// entry is the latest item under a key, or its removal.
type entry struct {
	item    kv.Item
	content content
	changed unit.Revision // the content is the same in all reads since
}

// content is what of an item matters to an owner. The item changes with each heartbeat of
// the worker too.
type content struct {
	listing scheduler.Listing
	invalid bool // the item is skipped
	removed bool
}

func newList(d decoder) *list { return &list{decoder: d, entries: map[kv.Key]entry{}} }

// read returns the revision of the latest read, or 0 before the first one.
func (l *list) read() unit.Revision {
	if len(l.reads) == 0 {
		return 0
	}
	return l.reads[len(l.reads)-1]
}

// replace replaces the items by those of a list of all items that began at a revision.
// What changed since the last read stays known, although the events do not: an item that
// is missing was removed by then.
func (l *list) replace(items []kv.Item, began unit.Revision) {
	if l.read() == 0 {
		l.floor = began
	}
	listed := map[kv.Key]bool{}
	for _, item := range items {
		listed[item.Key] = true
		l.apply(item)
	}
	for key, e := range l.entries {
		if !listed[key] && !e.item.Deleted && e.item.Revision <= began {
			l.apply(kv.Item{Key: key, Revision: began, Deleted: true})
		}
	}
}

// applyChanges applies the events up to the revision that a read has shown.
func (l *list) applyChanges(events []kv.Item, read unit.Revision) {
	for _, event := range events {
		l.apply(event)
	}
	if read > l.read() {
		l.reads = append(l.reads, read)
	}
	if n := len(l.reads) - maxReads; n > 0 {
		l.reads = slices.Delete(l.reads, 0, n)
	}
	if l.removals > maxRemovals {
		l.forgetRemovals()
	}
}

// apply applies an item or its removal, unless a later one is known.
func (l *list) apply(item kv.Item) {
	previous, known := l.entries[item.Key]
	if known && item.Revision <= previous.item.Revision {
		return
	}
	next := entry{item: item, content: l.decode(item), changed: item.Revision}
	if known && reflect.DeepEqual(next.content, previous.content) {
		next.changed = previous.changed
	}
	l.entries[item.Key] = next
	if known && previous.item.Deleted {
		l.removals--
	}
	if item.Deleted {
		l.removals++
	}
}

func (l *list) decode(item kv.Item) content {
	if item.Deleted {
		return content{removed: true}
	}
	listing, err := guard.Value(func() (scheduler.Listing, error) { return l.decoder.Listing(item) })
	if err != nil {
		return content{invalid: true}
	}
	return content{listing: listing}
}

// forgetRemovals forgets all removed items.
func (l *list) forgetRemovals() {
	maps.DeleteFunc(l.entries, func(_ kv.Key, e entry) bool { return e.item.Deleted })
	l.removals, l.floor = 0, l.read()
}

// changesSince returns what a caller lacks that has applied all changes up to a revision.
// It is exact for the revisions of earlier reads. For others the answer holds all items
// that were written since: a read may show only the last of several writes, so that the
// caller may have seen another content in between.
func (l *list) changesSince(since unit.Revision) Changes {
	changes := Changes{Revision: l.read(), Complete: since < l.floor}
	_, exact := slices.BinarySearch(l.reads, since)
	for _, e := range l.entries {
		switch {
		case changes.Complete && e.item.Deleted:
			continue
		case changes.Complete, e.changed > since, !exact && e.item.Revision > since:
			changes.Items = append(changes.Items, e.item)
		}
	}
	slices.SortFunc(changes.Items, func(a, b kv.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}
