package cellrecord

import (
	"encoding/json"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// EncodeSpec returns the record of a job as it was submitted.
func EncodeSpec(jobID string, accepted wire.AcceptedJob) damsonwinch.Record {
	return damsonwinch.Record{Key: jobID + specSuffix, Value: encode(accepted)}
}

// EncodeJob returns the record of the changing part of a job.
func EncodeJob(jobID string, record wire.JobRecord) damsonwinch.Record {
	return damsonwinch.Record{Key: jobID, Value: encode(record)}
}

// EncodeWithdrawal returns the record that says that an endpoint is withdrawn, as of now.
func EncodeWithdrawal(life damsonwinch.Life, now time.Time) damsonwinch.Record {
	return damsonwinch.Record{Key: endpointPrefix + life.String(), Value: encode(wire.EndpointRecord{Withdrawn: true, AtMs: int(now.UnixMilli())})}
}

// EncodeAllowances returns the record of the customers' allowances.
func EncodeAllowances(allowances wire.AllowancesRecord) damsonwinch.Record {
	return damsonwinch.Record{Key: allowancesKey, Value: encode(allowances)}
}

// EncodeWorkload returns the record of a queue's statistics.
func EncodeWorkload(queue string, statistics wire.QueueRecord) damsonwinch.Record {
	return damsonwinch.Record{Key: workloadKey(queue), Value: encode(statistics)}
}

// EncodeAddress returns the record of an address.
func EncodeAddress(address string, record wire.AddressRecord) damsonwinch.Record {
	return damsonwinch.Record{Key: addressKey(address), Value: encode(record)}
}

// Decode decodes the value of a record into the struct that value points to.
func Decode(record damsonwinch.Record, value any) error {
	if err := json.Unmarshal(record.Value, value); err != nil {
		return fmt.Errorf("read record %s: %w", record.Key, err)
	}
	return nil
}

// encode returns the JSON value of a record. Encoding plain structs of strings and numbers can't
// fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}
