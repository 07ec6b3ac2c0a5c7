package scenario

import (
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/monsoonfold/monsoonfold/internal/standin/relay"
)

// relays holds the relays that a script started, by name.
type relays map[string]*relay.TCP

type relaysKey struct{}

// startRelay runs "relay NAME TARGET": it starts a TCP relay to the target.
func startRelay(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: relay NAME TARGET")
	}
	r, err := relay.NewTCP("127.0.0.1:0", args[1])
	ts.Check(err)
	ts.Defer(r.Close)
	ts.Value(relaysKey{}).(relays)[args[0]] = r
	ts.Setenv(args[0]+"_address", r.Address())
}

// cutRelay runs "cut NAME": the relay holds the bytes of both directions back until
// it is healed.
func cutRelay(ts *testscript.TestScript, neg bool, args []string) {
	findRelay(ts, neg, args).Cut(relay.ToFar, relay.ToNear)
}

// healRelay runs "heal NAME": the relay forwards again, first what it held back.
func healRelay(ts *testscript.TestScript, neg bool, args []string) {
	findRelay(ts, neg, args).Heal()
}

func findRelay(ts *testscript.TestScript, neg bool, args []string) *relay.TCP {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: cut NAME, or heal NAME")
	}
	r := ts.Value(relaysKey{}).(relays)[args[0]]
	if r == nil {
		ts.Fatalf("no relay %s", args[0])
	}
	return r
}
