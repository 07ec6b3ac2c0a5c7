package command

// newZoneOut builds the command that takes an availability zone out of service.
func newZoneOut() action {
	return setZone("out", "take an availability zone out of service; its work moves", true)
}
