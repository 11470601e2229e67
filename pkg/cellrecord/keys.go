// Package cellrecord defines the records of a cell's stream: their keys, the encoding of their values,
// and how many of them fit into one append. What the records mean for the cell is decided by pkg/cell.
package cellrecord

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

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
	// Address holds what is known of an address at which clients submit jobs.
	Address
)

const (
	specSuffix     = "/spec"
	endpointPrefix = "endpoint/"
	workloadPrefix = "learned/"
	// addressPrefix begins the key of an address's record, which ends like that of a specification: versions that don't
	// know the record pass over a specification without a job.
	addressPrefix = "address/"
	allowancesKey = "allowances"
	// confirmationKey is the key of a record that never exists.
	confirmationKey = "confirmation"
)

// ParseKey returns the kind of the record with the given key, and what it is about: the ID of a job,
// the life of an endpoint, an address, or the name of a queue or its hash.
func ParseKey(key string) (Kind, string) {
	if address, isAddress := strings.CutPrefix(key, addressPrefix); isAddress {
		return Address, strings.TrimSuffix(address, specSuffix)
	}
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

// maxQueueNameBytes is the length of the longest queue name that a key contains. The store's keys have at most
// 255 bytes.
const maxQueueNameBytes = 200

// workloadKey returns the key of the record of a queue's statistics. It contains a hash of a very long name; the
// record holds the name.
func workloadKey(queue string) string {
	if len(queue) > maxQueueNameBytes {
		queue = strconv.FormatUint(xxhash.Sum64String(queue), 16)
	}
	return workloadPrefix + queue
}

// addressKey returns the key of the record of an address.
func addressKey(address string) string {
	return addressPrefix + address + specSuffix
}

// DeleteAddress returns the record that deletes what is recorded about an address.
func DeleteAddress(address string) damsonwinch.Record {
	return damsonwinch.Record{Key: addressKey(address)}
}

// DeleteSpec returns the record that deletes the specification of a job.
func DeleteSpec(jobID string) damsonwinch.Record {
	return damsonwinch.Record{Key: jobID + specSuffix}
}

// DeleteEndpoint returns the record that deletes what is recorded about an endpoint.
func DeleteEndpoint(life damsonwinch.Life) damsonwinch.Record {
	return damsonwinch.Record{Key: endpointPrefix + life.String()}
}
