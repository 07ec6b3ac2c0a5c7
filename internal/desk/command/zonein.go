package command

// newZoneIn builds the command that returns an availability zone to service.
func newZoneIn() action {
	return setZone("in", "return an availability zone to service", false)
}
