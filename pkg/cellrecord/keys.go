// Package cellrecord defines the records of a cell's stream: their keys, the encoding of their values,
// and how many of them fit into one append. What the records mean for the cell is decided by pkg/cell.
package cellrecord

import (
	"strings"

	"damsonwinch"
)

// Kind says what a record is about.
type Kind int

const (
	// Job is the changing part of a job. Its key is the job's ID.
	Job Kind = iota
	// Spec is a job as it was submitted. It is written once.
	Spec
	// Endpoint says whether an endpoint is withdrawn.
	Endpoint
	// Allowances holds the customers' allowances in the cell.
	Allowances
	// Workload holds the statistics of a queue.
	Workload
)

const (
	specSuffix     = "/spec"
	endpointPrefix = "endpoint/"
	workloadPrefix = "learned/"
	allowancesKey  = "allowances"
	// confirmationKey is the key of a record that never exists.
	confirmationKey = "confirmation"
)

// ParseKey returns the kind of the record with the given key, and what it is about: the ID of a job,
// the life of an endpoint or the name of a queue.
func ParseKey(key string) (Kind, string) {
	if id, isSpec := strings.CutSuffix(key, specSuffix); isSpec {
		return Spec, id
	}
	if key == allowancesKey {
		return Allowances, ""
	}
	if life, isEndpoint := strings.CutPrefix(key, endpointPrefix); isEndpoint {
		return Endpoint, life
	}
	if queue, isWorkload := strings.CutPrefix(key, workloadPrefix); isWorkload {
		return Workload, queue
	}
	return Job, key
}

// Confirmation returns a record that changes nothing in the stream: it deletes a key that is never written. The store
// accepts it only from the stream's present owner.
func Confirmation() damsonwinch.Record {
	return damsonwinch.Record{Key: confirmationKey}
}

// DeleteSpec returns the record that deletes the specification of a job.
func DeleteSpec(jobID string) damsonwinch.Record {
	return damsonwinch.Record{Key: jobID + specSuffix}
}

// DeleteEndpoint returns the record that deletes what is recorded about an endpoint.
func DeleteEndpoint(life damsonwinch.Life) damsonwinch.Record {
	return damsonwinch.Record{Key: endpointPrefix + life.String()}
}
