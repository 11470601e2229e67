// Package soak is a soak test of dw-node. It runs nodes as real processes against the stand-in of the
// platform, with load and with faults that a seed determines, and checks rules that must hold for any
// job: no task starts that no client asks for any more, and no accepted job is lost.
//
// The package consists of its tests. CI plays one seed. More are played by hand:
//
//	DAMSONWINCH_FIRST_SEED=1 DAMSONWINCH_SEEDS=15 DAMSONWINCH_LOGS=/tmp/soak go test -timeout 30m ./pkg/soak
//
// DAMSONWINCH_LOGS names a folder in which the logs of the nodes are kept.
package soak
