package command

// newZoneIn builds the command that returns an availability zone to service.
func newZoneIn() command {
	return newSetZone("in", "return an availability zone to service", false)
}
