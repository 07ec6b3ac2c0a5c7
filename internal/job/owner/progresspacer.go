package owner

import (
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxProgressInterval bounds the time between two writes of a large record of the
// progress. The ends of runs stay with their workers until it is written.
const maxProgressInterval = 2 * time.Second

// progressPacer bounds the share of the owner's link that the record of the progress takes.
type progressPacer struct {
	perSecond unit.Bytes // 0: no bound
	dueAt     time.Time  // when the next write may be sent
	retryAt   time.Time  // when it may be sent if the last one has failed
}

func newProgressPacer(link unit.BitRate) progressPacer {
	return progressPacer{perSecond: shareOf(link, progressShare)}
}

// due reports whether the record may be written.
func (p *progressPacer) due(now time.Time) bool { return !now.Before(p.dueAt) }

// sent records that a record of the given size is about to be sent.
func (p *progressPacer) sent(size unit.Bytes, now time.Time) {
	var taken time.Duration
	if p.perSecond > 0 {
		taken = time.Duration(float64(size) / float64(p.perSecond) * float64(time.Second))
	}
	p.retryAt = now.Add(min(taken, maxProgressInterval))
	p.dueAt = now.Add(min(max(taken, progressInterval), maxProgressInterval))
}

// failed records that the last write did not take effect. The next one is due as soon as
// the link has carried the last.
func (p *progressPacer) failed() { p.dueAt = p.retryAt }
