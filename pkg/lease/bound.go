package lease

// KnownToSender says whether a member of the sender's hall is bound by the promises that
// the sender relies on, so that it may propose a release after waiting: it
// joined before what the sender had folded when it issued its last renewal. The
// sender asks every member of the roster it folded, hence also this one.
func KnownToSender(joined, folded int) bool {
	return joined < folded
}
