// Package quota decides whether an organisation may have more tasks running under its
// cap. The package does no I/O and reads no clock.
package quota

import "github.com/monsoonfold/monsoonfold/internal/fleet/unit"

// Account is what an organisation has running, and its cap.
type Account struct {
	// Cap bounds what the organisation has running. A component of 0 is no limit, and of a
	// resource with a negative one nothing is granted.
	Cap     unit.Resources
	Running unit.Resources // of the tasks that run or may run, also of those that are being stopped
	Hidden  unit.Resources // of the tasks that may run on workers which have not reported yet
	Unsized int            // what may run and of which the resources are not known
}

// Start counts a task that may run from now on.
func (a *Account) Start(needs unit.Resources) { a.Running = a.Running.Add(needs) }

// End counts a task that certainly runs no more.
func (a *Account) End(needs unit.Resources) { a.Running = a.Running.Sub(needs) }

// Capped reports whether any resource has a limit.
func (a *Account) Capped() bool { return a.Cap != unit.Resources{} }

// Admits reports whether a number of tasks may start that need the given resources each. A
// resource that they do not need cannot hold them back.
func (a *Account) Admits(needs unit.Resources, tasks int) bool {
	if !a.Capped() {
		return true
	}
	if a.Unsized > 0 {
		return false
	}
	return fits(a.Cap, a.Running.Add(a.Hidden), needs, tasks)
}

// Exceeded reports whether what runs exceeds the cap in a resource that a task with the given
// needs uses. The task is counted already.
func (a *Account) Exceeded(needs unit.Resources) bool {
	if !a.Capped() {
		return false
	}
	return a.Unsized > 0 || !fits(a.Cap, a.Running.Add(a.Hidden).Sub(needs), needs, 1)
}

// Fits reports whether a number of tasks with the given needs fit a cap while nothing else
// runs.
func Fits(limit, needs unit.Resources, tasks int) bool {
	return fits(limit, unit.Resources{}, needs, tasks)
}

// fits reports whether tasks fit a cap beside what is used.
func fits(limit, used, needs unit.Resources, tasks int) bool {
	return fitsOne(int64(limit.Cores), int64(used.Cores), int64(needs.Cores), int64(tasks)) &&
		fitsOne(int64(limit.Memory), int64(used.Memory), int64(needs.Memory), int64(tasks)) &&
		fitsOne(int64(limit.Accelerators), int64(used.Accelerators), int64(needs.Accelerators), int64(tasks))
}

// fitsOne is fits for one resource. It compares by division, as the product of the needs
// and the number of tasks may overflow.
func fitsOne(limit, used, needs, tasks int64) bool {
	if limit == 0 || needs <= 0 || tasks <= 0 {
		return true
	}
	left := max(limit, 0) - used
	return left >= 0 && left/needs >= tasks
}
