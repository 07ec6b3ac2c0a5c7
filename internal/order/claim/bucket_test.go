package claim

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/bench/seed"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

func init() { seed.Search(500, 100) }

// base lies a minute before the end of a period.
var base = time.Unix(100*int64(period/time.Second)-60, 0)

// model is a store that loses responses, delays writes and fails.
type model struct {
	records  map[Period]Record
	revs     map[Period]unit.Revision
	revision unit.Revision
	delayed  []StoreCall // answered as Unknown, and perhaps applied later
}

func (m *model) apply(a StoreCall) StoreReply {
	switch a.Operation {
	case Delete:
		delete(m.records, a.Period)
		delete(m.revs, a.Period)
		return StoreReply{}
	case Read:
		r, ok := m.records[a.Period]
		if !ok {
			return StoreReply{Status: Absent}
		}
		return StoreReply{Record: r, Revision: m.revs[a.Period]}
	}
	if m.revs[a.Period] != a.Revision {
		return StoreReply{Status: Conflict}
	}
	m.revision++
	m.records[a.Period], m.revs[a.Period] = a.Record, m.revision
	return StoreReply{Revision: m.revision}
}

// entry is one racing entry with its store call in progress.
type entry struct {
	bucket Bucket
	out    StoreCall
	skew   time.Duration
}

// TestBucket guards against an id that is granted twice, and against a call that
// gets no answer, when entries race and the store loses, delays and fails calls,
// across the border of periods.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{records: map[Period]Record{}, revs: map[Period]unit.Revision{}}
		now := base
		entries := make([]*entry, rapid.IntRange(1, 3).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &entry{skew: time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second}
		}
		calls := map[CallID]Call{}   // not yet answered
		holders := map[Key][]Nonce{} // granted and not asked to be voided
		last := CallID(0)
		answer := func(answers []Answer) {
			for _, a := range answers {
				c, ok := calls[a.CallID]
				if !ok {
					t.Fatalf("second answer to %d", a.CallID)
				}
				delete(calls, a.CallID)
				if c.Void || a.Outcome != Granted {
					continue
				}
				if holders[c.Key] = append(holders[c.Key], c.Nonce); len(holders[c.Key]) > 1 {
					t.Fatalf("key %x granted to %d", c.Key[0], holders[c.Key])
				}
			}
		}
		step := func(e *entry) {
			action, answers := e.bucket.NextStoreCall(now.Add(e.skew))
			answer(answers)
			if action.Operation != None {
				e.out = action
			}
		}
		reply := func(e *entry, r StoreReply) {
			e.out = StoreCall{}
			answer(e.bucket.HandleReply(r))
			step(e)
		}
		add := func(e *entry, c Call) {
			last++
			c.ID, c.Deadline = last, now.Add(e.skew+2*time.Second)
			if !c.Void {
				c.Nonce = Nonce(last)
			}
			calls[last] = c
			e.bucket.AddCall(c)
			step(e)
		}
		pick := func(t *rapid.T) *entry { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				add(pick(t), Call{Key: Key{byte(rapid.IntRange(1, 3).Draw(t, "key"))}})
			},
			"void": func(t *rapid.T) {
				key := Key{byte(rapid.IntRange(1, 3).Draw(t, "key"))}
				if nonces := holders[key]; len(nonces) > 0 {
					holders[key] = nil
					add(pick(t), Call{Key: key, Nonce: nonces[0], Void: true})
				}
			},
			"store answers": func(t *rapid.T) {
				if e := pick(t); e.out.Operation != None {
					reply(e, m.apply(e.out))
				}
			},
			"store loses": func(t *rapid.T) {
				e := pick(t)
				switch e.out.Operation {
				case Read:
					reply(e, StoreReply{Status: Failed})
				case Write:
					switch rapid.IntRange(0, 2).Draw(t, "how") {
					case 0:
						reply(e, StoreReply{Status: Failed})
					case 1:
						m.apply(e.out)
						reply(e, StoreReply{Status: Unknown})
					case 2:
						m.delayed = append(m.delayed, e.out)
						reply(e, StoreReply{Status: Unknown})
					}
				}
			},
			"delayed write": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "write")
					m.apply(m.delayed[i])
					m.delayed = slices.Delete(m.delayed, i, i+1)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
				for _, e := range entries {
					step(e)
				}
			},
		})
		// With a store that works again, everything is answered.
		for i := 0; len(calls) > 0; i++ {
			if i > 1000 {
				t.Fatalf("no answer to %v", slices.Collect(maps.Keys(calls)))
			}
			now = now.Add(window)
			for _, e := range entries {
				step(e)
				if e.out.Operation != None {
					reply(e, m.apply(e.out))
				}
			}
		}
	})
}

// drive runs a bucket against the store until it makes no more calls.
func drive(b *Bucket, m *model, now time.Time, fail func(StoreCall) *StoreReply) []Answer {
	var all []Answer
	for {
		action, answers := b.NextStoreCall(now)
		all = append(all, answers...)
		if action.Operation == None {
			return all
		}
		r := fail(action)
		if r == nil {
			applied := m.apply(action)
			r = &applied
		}
		all = append(all, b.HandleReply(*r)...)
	}
}

// TestAnswers guards against an id that stays claimed although its request did
// not run, and against a grant or a rejection without ground.
func TestAnswers(t *testing.T) {
	works := func(StoreCall) *StoreReply { return nil }
	key := Key{1}
	full := Record{}
	for i := range maxClaims {
		full.claims = append(full.claims, claimed{Key{2, byte(i >> 8), byte(i)}, 1})
	}
	other := Record{claims: []claimed{{key, 99}}}
	current := Period(base.Unix() / int64(period/time.Second))
	tests := []struct {
		name  string
		held  map[Period]Record
		calls [][]Call // each group is driven to its end
		fault func(m *model, a StoreCall) *StoreReply
		later *Record // written by another entry after the first group
		want  []Outcome
	}{
		{name: "first", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted}},
		{name: "twice in a batch", calls: [][]Call{{{Key: key, Nonce: 1}, {Key: key, Nonce: 2}}}, want: []Outcome{Granted, Taken}},
		{name: "by another entry", held: map[Period]Record{current: other}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Taken}},
		{name: "in the previous period", held: map[Period]Record{current - 1: other}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Taken}},
		{name: "two periods ago", held: map[Period]Record{current - 2: other}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted}},
		{name: "period already sealed", held: map[Period]Record{current: {Sealed: true, claims: other.claims}}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Taken}},
		{name: "voided, then again", calls: [][]Call{{{Key: key, Nonce: 1}}, {{Key: key, Nonce: 1, Void: true}}, {{Key: key, Nonce: 2}}}, want: []Outcome{Granted, Voided, Granted}},
		{
			name: "voided by another entry since the last read", held: map[Period]Record{current: other}, later: &Record{},
			calls: [][]Call{{{Key: Key{7}, Nonce: 1}}, {{Key: key, Nonce: 2}}}, want: []Outcome{Granted, Granted},
		},
		{name: "full", held: map[Period]Record{current: full}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Full}},
		{
			name: "store down", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Unavailable},
			fault: func(*model, StoreCall) *StoreReply { return &StoreReply{Status: Failed} },
		},
		{
			name: "response lost", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted},
			fault: lostOnce(true, false),
		},
		{
			name: "write lost", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted},
			fault: lostOnce(false, false),
		},
		{
			name: "response lost, then store down, then again", calls: [][]Call{{{Key: key, Nonce: 1}}, {{Key: key, Nonce: 2}}},
			want: []Outcome{Unavailable, Granted}, fault: lostOnce(true, true),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &model{records: map[Period]Record{}, revs: map[Period]unit.Revision{}}
			for p, r := range tt.held {
				m.apply(StoreCall{Operation: Write, Period: p, Record: r})
			}
			fail := works
			if tt.fault != nil {
				fail = func(a StoreCall) *StoreReply { return tt.fault(m, a) }
			}
			var b Bucket
			got := make([]Outcome, len(tt.want))
			ticket := 0
			for i, group := range tt.calls {
				now := base.Add(time.Duration(i) * time.Second)
				for _, c := range group {
					c.ID, c.Deadline = CallID(ticket), now.Add(time.Second)
					ticket++
					b.AddCall(c)
				}
				for range 3 { // a call behind another one takes the next write
					for _, a := range drive(&b, m, now, fail) {
						got[a.CallID] = a.Outcome
					}
					now = now.Add(window)
				}
				if i == 0 && tt.later != nil {
					m.apply(StoreCall{Operation: Write, Period: current, Record: *tt.later, Revision: m.revs[current]})
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSeal guards against an id that is granted in both periods, when an entry
// whose clock is behind claims it in a period that another entry has left.
func TestSeal(t *testing.T) {
	tests := []struct {
		name   string
		loaded bool // the entry behind has read the record before
	}{
		{"record not read before", false},
		{"record read before", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &model{records: map[Period]Record{}, revs: map[Period]unit.Revision{}}
			claim := func(b *Bucket, key Key, nonce Nonce, now time.Time) Outcome {
				b.AddCall(Call{ID: CallID(nonce), Key: key, Nonce: nonce, Deadline: now.Add(time.Second)})
				verdict := Unavailable
				for range 3 { // a conflict takes another write
					for _, a := range drive(b, m, now, func(StoreCall) *StoreReply { return nil }) {
						verdict = a.Outcome
					}
					now = now.Add(window)
				}
				return verdict
			}
			var behind, ahead Bucket
			if tt.loaded {
				claim(&behind, Key{1}, 1, base)
			}
			got := []Outcome{
				claim(&ahead, Key{2}, 2, base.Add(2*time.Minute)),
				claim(&behind, Key{2}, 3, base.Add(30*time.Second)),
			}
			if diff := cmp.Diff([]Outcome{Granted, Taken}, got); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

// lostOnce loses the response to the first claim, which was applied or not, and
// perhaps fails the read after it.
func lostOnce(applied, down bool) func(*model, StoreCall) *StoreReply {
	lost := 0
	return func(m *model, a StoreCall) *StoreReply {
		switch {
		case lost == 0 && a.Operation == Write && len(a.Record.claims) > 0:
			lost++
			if applied {
				m.apply(a)
			}
			return &StoreReply{Status: Unknown}
		case lost == 1 && down:
			lost++
			return &StoreReply{Status: Failed}
		}
		return nil
	}
}

// TestRecord guards against a record that changes on its way through the store,
// exceeds the limit of the store, or is read although it is damaged.
func TestRecord(t *testing.T) {
	var full Record
	for i := range maxClaims {
		full.claims = append(full.claims, claimed{KeyOf(unit.RequestID(fmt.Sprint(i))), Nonce(i)})
	}
	slices.SortFunc(full.claims, func(a, b claimed) int { return bytes.Compare(a.key[:], b.key[:]) })
	data, err := full.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) >= 1_000_000 {
		t.Errorf("a full record takes %d bytes", len(data))
	}
	tests := []struct {
		name string
		data []byte
		ok   bool
	}{
		{"full", data, true},
		{"truncated", data[:len(data)-1], false},
		{"empty", nil, false},
		{"odd length", []byte{0xa1, 0x02, 0x41, 0x00}, false},
		{"key twice", slices.Concat([]byte{0xa1, 0x02, 0x58, 0x30}, make([]byte, 48)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Decode(tt.data)
			if (err == nil) != tt.ok {
				t.Fatalf("error %v", err)
			}
			if tt.ok && !slices.Equal(got.claims, full.claims) {
				t.Error("claims differ")
			}
		})
	}
}
