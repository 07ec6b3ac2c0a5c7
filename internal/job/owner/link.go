package owner

import "github.com/monsoonfold/monsoonfold/internal/fleet/unit"

// Shares of the link, in percent, that starts, heartbeats and the record of the progress
// may take. The rest is for other orders, the store and callers, and for bursts.
const (
	startShare     = 45
	heartbeatShare = 25
	progressShare  = 10
)

// shareOf returns the bytes a second of a share of a link, or 0 for no bound if the
// capacity of the link is not known.
func shareOf(link unit.BitRate, percent unit.Bytes) unit.Bytes {
	return unit.Bytes(link) / 8 * percent / 100
}
