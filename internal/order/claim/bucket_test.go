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

func init() { seed.SetDefaults(500, 100) }

// base is one minute before the end of a period.
var base = time.Unix(100*int64(period/time.Second)-60, 0)

// storeModel is a model of the store that loses responses, delays writes and fails.
type storeModel struct {
	records      map[Period]Record
	revisions    map[Period]unit.Revision
	lastRevision unit.Revision
	delayed      []StoreCall // writes answered as Unknown that may still be applied
}

// apply makes a store call.
func (m *storeModel) apply(c StoreCall) StoreReply {
	switch c.Operation {
	case Delete:
		delete(m.records, c.Period)
		delete(m.revisions, c.Period)
		return StoreReply{}
	case Read:
		r, ok := m.records[c.Period]
		if !ok {
			return StoreReply{Status: Absent}
		}
		return StoreReply{Record: r, Revision: m.revisions[c.Period]}
	}
	if m.revisions[c.Period] != c.Revision {
		return StoreReply{Status: Conflict}
	}
	m.lastRevision++
	m.records[c.Period], m.revisions[c.Period] = c.Record, m.lastRevision
	return StoreReply{Revision: m.lastRevision}
}

// entry is one of several concurrent entries with its store call in progress.
type entry struct {
	bucket     Bucket
	inProgress StoreCall
	skew       time.Duration // of the clock
}

// TestBucket guards against an id that is granted twice, against a claim that stays
// although it was answered as voided, and against a call that is never answered or
// answered twice, while entries run concurrently, the store loses,
// delays and fails calls, and a new period starts.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{records: map[Period]Record{}, revisions: map[Period]unit.Revision{}}
		now := base
		entries := make([]*entry, rapid.IntRange(1, 3).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &entry{skew: time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second}
		}
		unanswered := map[CallID]Call{}
		granted := map[Key][]Nonce{} // claims that were granted and not voided
		lastID := CallID(0)
		handleAnswers := func(answers []Answer) {
			for _, a := range answers {
				c, ok := unanswered[a.CallID]
				if !ok {
					t.Fatalf("second answer to call %d", a.CallID)
				}
				delete(unanswered, a.CallID)
				if c.Void && a.Outcome == Voided {
					for p, r := range m.records {
						if nonce, ok := r.nonceOf(c.Key); ok && nonce == c.Nonce {
							t.Fatalf("claim %d of key %x answered as voided is in the record of period %d", c.Nonce, c.Key[0], p)
						}
					}
				}
				if c.Void || a.Outcome != Granted {
					continue
				}
				if granted[c.Key] = append(granted[c.Key], c.Nonce); len(granted[c.Key]) > 1 {
					t.Fatalf("key %x granted to nonces %d", c.Key[0], granted[c.Key])
				}
			}
		}
		startNext := func(e *entry) {
			call, answers := e.bucket.NextStoreCall(now.Add(e.skew))
			handleAnswers(answers)
			if call.Operation != None {
				e.inProgress = call
			}
		}
		finish := func(e *entry, r StoreReply) {
			e.inProgress = StoreCall{}
			handleAnswers(e.bucket.HandleReply(r))
			startNext(e)
		}
		add := func(e *entry, c Call) {
			lastID++
			c.ID, c.Deadline = lastID, now.Add(e.skew+2*time.Second)
			if !c.Void {
				c.Nonce = Nonce(lastID)
			}
			unanswered[lastID] = c
			e.bucket.AddCall(c)
			startNext(e)
		}
		pick := func(t *rapid.T) *entry { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				add(pick(t), Call{Key: Key{byte(rapid.IntRange(1, 3).Draw(t, "key"))}})
			},
			"void": func(t *rapid.T) {
				key := Key{byte(rapid.IntRange(1, 3).Draw(t, "key"))}
				if nonces := granted[key]; len(nonces) > 0 {
					granted[key] = nil
					add(pick(t), Call{Key: key, Nonce: nonces[0], Void: true})
				}
			},
			"store call completes": func(t *rapid.T) {
				if e := pick(t); e.inProgress.Operation != None {
					finish(e, m.apply(e.inProgress))
				}
			},
			"store call fails": func(t *rapid.T) {
				e := pick(t)
				switch e.inProgress.Operation {
				case Read:
					finish(e, StoreReply{Status: Failed})
				case Write:
					switch rapid.IntRange(0, 2).Draw(t, "how") {
					case 0:
						finish(e, StoreReply{Status: Failed})
					case 1:
						m.apply(e.inProgress)
						finish(e, StoreReply{Status: Unknown})
					case 2:
						m.delayed = append(m.delayed, e.inProgress)
						finish(e, StoreReply{Status: Unknown})
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
					startNext(e)
				}
			},
		})
		// Once the store works again, every call is answered.
		for i := 0; len(unanswered) > 0; i++ {
			if i > 1000 {
				t.Fatalf("no answer to calls %v", slices.Collect(maps.Keys(unanswered)))
			}
			now = now.Add(minWriteInterval)
			for _, e := range entries {
				startNext(e)
				if e.inProgress.Operation != None {
					finish(e, m.apply(e.inProgress))
				}
			}
		}
	})
}

// runBucket makes the store calls of a bucket until it requests no more. If fail returns
// a reply, that reply replaces the call.
func runBucket(b *Bucket, m *storeModel, now time.Time, fail func(StoreCall) *StoreReply) []Answer {
	var all []Answer
	for {
		call, answers := b.NextStoreCall(now)
		all = append(all, answers...)
		if call.Operation == None {
			return all
		}
		r := fail(call)
		if r == nil {
			applied := m.apply(call)
			r = &applied
		}
		all = append(all, b.HandleReply(*r)...)
	}
}

// TestAnswers guards against an id that stays claimed although its request did not
// run, and against a claim that is granted or rejected wrongly.
func TestAnswers(t *testing.T) {
	noFault := func(StoreCall) *StoreReply { return nil }
	key := Key{1}
	fullRecord := Record{}
	for i := range maxClaims {
		fullRecord.claims = append(fullRecord.claims, storedClaim{Key{2, byte(i >> 8), byte(i)}, 1})
	}
	otherClaim := Record{claims: []storedClaim{{key, 99}}}
	current := Period(base.Unix() / int64(period/time.Second))
	tests := []struct {
		name   string
		stored map[Period]Record
		calls  [][]Call // answered group by group
		fault  func(m *storeModel, c StoreCall) *StoreReply
		later  *Record // record written by another entry after the first group
		want   []Outcome
	}{
		{name: "first", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted}},
		{name: "same key twice in a batch", calls: [][]Call{{{Key: key, Nonce: 1}, {Key: key, Nonce: 2}}}, want: []Outcome{Granted, Taken}},
		{name: "claimed by another entry", stored: map[Period]Record{current: otherClaim}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Taken}},
		{name: "claimed in the previous period", stored: map[Period]Record{current - 1: otherClaim}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Taken}},
		{name: "claimed two periods ago", stored: map[Period]Record{current - 2: otherClaim}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted}},
		{name: "period already sealed", stored: map[Period]Record{current: {Sealed: true, claims: otherClaim.claims}}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Taken}},
		{name: "voided, then claimed again", calls: [][]Call{{{Key: key, Nonce: 1}}, {{Key: key, Nonce: 1, Void: true}}, {{Key: key, Nonce: 2}}}, want: []Outcome{Granted, Voided, Granted}},
		{
			name: "voided after its period", stored: map[Period]Record{current - 1: otherClaim},
			calls: [][]Call{{{Key: key, Nonce: 99, Void: true}}, {{Key: key, Nonce: 2}}}, want: []Outcome{Kept, Taken},
		},
		{
			name: "voided through an entry that has not read it", later: &otherClaim,
			calls: [][]Call{{{Key: Key{7}, Nonce: 1}}, {{Key: key, Nonce: 99, Void: true}}, {{Key: key, Nonce: 2}}},
			want:  []Outcome{Granted, Voided, Granted},
		},
		{
			name: "voided by another entry since the last read", stored: map[Period]Record{current: otherClaim}, later: &Record{},
			calls: [][]Call{{{Key: Key{7}, Nonce: 1}}, {{Key: key, Nonce: 2}}}, want: []Outcome{Granted, Granted},
		},
		{name: "full", stored: map[Period]Record{current: fullRecord}, calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Full}},
		{
			name: "store down", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Unavailable},
			fault: func(*storeModel, StoreCall) *StoreReply { return &StoreReply{Status: Failed} },
		},
		{
			name: "response lost", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted},
			fault: loseOnce(true, false),
		},
		{
			name: "write lost", calls: [][]Call{{{Key: key, Nonce: 1}}}, want: []Outcome{Granted},
			fault: loseOnce(false, false),
		},
		{
			name: "response lost, store down, then claimed again", calls: [][]Call{{{Key: key, Nonce: 1}}, {{Key: key, Nonce: 2}}},
			want: []Outcome{Unavailable, Granted}, fault: loseOnce(true, true),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &storeModel{records: map[Period]Record{}, revisions: map[Period]unit.Revision{}}
			for p, r := range tt.stored {
				m.apply(StoreCall{Operation: Write, Period: p, Record: r})
			}
			fail := noFault
			if tt.fault != nil {
				fail = func(c StoreCall) *StoreReply { return tt.fault(m, c) }
			}
			var b Bucket
			got := make([]Outcome, len(tt.want))
			nextID := 0
			for i, group := range tt.calls {
				now := base.Add(time.Duration(i) * time.Second)
				for _, c := range group {
					c.ID, c.Deadline = CallID(nextID), now.Add(time.Second)
					nextID++
					b.AddCall(c)
				}
				for range 3 { // a call that waits for another one needs a second write
					for _, a := range runBucket(&b, m, now, fail) {
						got[a.CallID] = a.Outcome
					}
					now = now.Add(minWriteInterval)
				}
				if i == 0 && tt.later != nil {
					m.apply(StoreCall{Operation: Write, Period: current, Record: *tt.later, Revision: m.revisions[current]})
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSeal guards against an id that is granted in two periods, if an entry whose clock
// is behind claims it in a period that another entry has already sealed.
func TestSeal(t *testing.T) {
	tests := []struct {
		name   string
		loaded bool // the entry with the slow clock has already read the record
	}{
		{"record not read before", false},
		{"record read before", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &storeModel{records: map[Period]Record{}, revisions: map[Period]unit.Revision{}}
			claim := func(b *Bucket, key Key, nonce Nonce, now time.Time) Outcome {
				b.AddCall(Call{ID: CallID(nonce), Key: key, Nonce: nonce, Deadline: now.Add(time.Second)})
				outcome := Unavailable
				for range 3 { // a conflict needs a second write
					for _, a := range runBucket(b, m, now, func(StoreCall) *StoreReply { return nil }) {
						outcome = a.Outcome
					}
					now = now.Add(minWriteInterval)
				}
				return outcome
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
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// loseOnce loses the first write of a claim, or only its response if applied is set.
// If down is set, the store call after it fails.
func loseOnce(applied, down bool) func(*storeModel, StoreCall) *StoreReply {
	faults := 0
	return func(m *storeModel, c StoreCall) *StoreReply {
		switch {
		case faults == 0 && c.Operation == Write && len(c.Record.claims) > 0:
			faults++
			if applied {
				m.apply(c)
			}
			return &StoreReply{Status: Unknown}
		case faults == 1 && down:
			faults++
			return &StoreReply{Status: Failed}
		}
		return nil
	}
}

// TestRecord guards against a record that changes when it is encoded and decoded,
// exceeds the size limit of the store, or is accepted although it is corrupt.
func TestRecord(t *testing.T) {
	var full Record
	for i := range maxClaims {
		full.claims = append(full.claims, storedClaim{KeyOf(unit.RequestID(fmt.Sprint(i))), Nonce(i)})
	}
	slices.SortFunc(full.claims, func(a, b storedClaim) int { return bytes.Compare(a.key[:], b.key[:]) })
	data, err := full.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) >= 1_000_000 {
		t.Errorf("a full record has %d bytes", len(data))
	}
	tests := []struct {
		name string
		data []byte
		ok   bool
	}{
		{"full", data, true},
		{"truncated", data[:len(data)-1], false},
		{"empty", nil, false},
		{"length not a multiple of the claim size", []byte{0xa1, 0x02, 0x41, 0x00}, false},
		{"duplicate key", slices.Concat([]byte{0xa1, 0x02, 0x58, 0x30}, make([]byte, 48)), false},
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
