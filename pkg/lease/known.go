package lease

// KnownToSender reports whether a sender knew a member of its zone when it issued its last renewal:
// whether the member joined within the log records that the sender had applied by then. A sender that
// is cut off from the log asks every member that it knows for extensions. Such a member may propose
// the sender's release once its own extensions have run out. A member that the sender doesn't know is
// asked for none, so its waiting proves nothing.
//
// joined is the offset of the record by which the member joined. applied is the next offset that the
// sender had to apply.
func KnownToSender(joined, applied int) bool {
	return joined < applied
}
