package command

// newZoneOut builds the command that takes an availability zone out of service.
func newZoneOut() command {
	return newSetZone("out", "take an availability zone out of service; its work moves", true)
}
