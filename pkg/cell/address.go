package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/addressbook"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/wire"
)

// addresses holds what the cell knows of the addresses at which clients submit jobs.
type addresses struct {
	book *addressbook.Book
	// jobCounts holds the number of jobs by address. Those whose address isn't known are under the empty address.
	jobCounts map[string]int
	// forgottenAt is when entries that aren't needed were last removed.
	forgottenAt time.Time
}

func newAddresses() addresses {
	return addresses{book: addressbook.New(), jobCounts: map[string]int{}}
}

// addJob adds a job to the cell.
func (c *Cell) addJob(j *job) {
	c.jobs[j.id] = j
	if !j.unsubmitted {
		c.addresses.jobCounts[j.address]++
	}
}

// removeJob removes a job from the cell.
func (c *Cell) removeJob(j *job) {
	delete(c.jobs, j.id)
	if j.unsubmitted {
		return
	}
	if c.addresses.jobCounts[j.address]--; c.addresses.jobCounts[j.address] == 0 {
		delete(c.addresses.jobCounts, j.address)
	}
}

// checkAddress reports whether a job that the cell doesn't have may be accepted: no cell of another pool has it or can
// accept it. If not, it replies to the call. Nodes that don't tell the address decide that for themselves.
func (c *Cell) checkAddress(args wire.JobArgs, callID int) bool {
	if args.Address == "" {
		return true
	}
	before := c.addresses.book.Entry(args.Address)
	verdict := c.addresses.book.Submit(c.now, addressbook.Submission{
		Address: args.Address, Version: args.ConfigVersion, Asked: args.Asked, AskedAll: args.AskedAll, Holding: args.Holding,
	})
	switch verdict {
	case addressbook.Accept:
		if after := c.addresses.book.Entry(args.Address); after.OpenedBy != before.OpenedBy {
			c.logQueue("address opened", args.Queue, fmt.Sprintf("address %s by configuration %d; other pools with jobs of it: %v", args.Address, args.ConfigVersion, after.Former))
		}
		return true
	case addressbook.Refuse:
		reason := fmt.Sprintf("a configuration from %d on leads the address to another pool, not %d", before.ClosedBelow, args.ConfigVersion)
		c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: "job refused", Queue: args.Queue, Job: args.Id, Reason: reason})
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: int(retryAfter.Milliseconds())})
	case addressbook.AskAll:
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeUnsettled})
	case addressbook.AskFormer:
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeUnsettled, Former: before.Former, OpenedBy: before.OpenedBy})
	}
	return false
}

// closeAddress answers a call of a node whose configuration leads an address to another pool, about a job that a client
// submits there. Unless this cell has the job, the reply is sent once it is recorded that this cell accepts no jobs of the
// address by older configurations.
func (c *Cell) closeAddress(args wire.JobArgs, callID int) {
	if reply := c.closingReply(args); reply.Outcome != wire.JobOutcomeNoSuchJob {
		c.reply(callID, reply)
		return
	}
	if !c.addresses.book.Close(c.now, args.Address, args.ConfigVersion) {
		reason := fmt.Sprintf("a newer configuration than %d leads the address here", args.ConfigVersion)
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: int(retryAfter.Milliseconds())})
		return
	}
	c.replyOnceCurrent(callID, args.WaitMs, func() wire.JobReply { return c.closingReply(args) })
}

// closingReply returns the reply to a closing call by what is recorded. A job of the same ID that was submitted at another
// address is another job.
func (c *Cell) closingReply(args wire.JobArgs) wire.JobReply {
	j, exists := c.jobs[args.Id]
	switch {
	case !exists || !j.recorded || j.unsubmitted || j.address != "" && j.address != args.Address:
		return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob, HoldsNone: !c.mayHoldJobsOf(args.Address)}
	case !j.visibleTo(args):
		return takenReply()
	}
	return wire.JobReply{Outcome: wire.JobOutcomeFound, State: j.recordedState}
}

// mayHoldJobsOf reports whether the cell may have a job of an address. The address of a job isn't known if an earlier
// version has recorded the job. That of its queue stands in for it, if there still is such a queue.
func (c *Cell) mayHoldJobsOf(address string) bool {
	if c.addresses.jobCounts[address] > 0 {
		return true
	}
	if c.addresses.jobCounts[""] == 0 {
		return false
	}
	for _, j := range c.jobs {
		if j.address != "" || j.unsubmitted {
			continue
		}
		if queue := c.queues.byName[j.queue]; queue == nil || queue.Address() == addressbook.Base(address) {
			return true
		}
	}
	return false
}

// isSettled reports whether no other pool holds jobs that clients submit at an address.
func (c *Cell) isSettled(address string) bool {
	return address != "" && (c.addresses.book.IsSettled(address) || c.addresses.book.IsSettled(addressbook.LongRunning(address)))
}

// isSubmittedTo reports whether the job belongs to a queue, which is named or, if the call tells it, given by its address.
func (j *job) isSubmittedTo(args wire.JobArgs) bool {
	if j.address == "" || args.Address == "" {
		return j.queue == args.Queue
	}
	return addressbook.Base(j.address) == args.Address
}

// addressRecords returns the records of the entries that have changed.
func (c *Cell) addressRecords() []damsonwinch.Record {
	return c.encodeAddresses(c.addresses.book.TakeChanged())
}

// encodeAddresses returns the records of the entries of some addresses.
func (c *Cell) encodeAddresses(changed []string) []damsonwinch.Record {
	var records []damsonwinch.Record
	for _, address := range changed {
		entry := c.addresses.book.Entry(address)
		if entry.OpenedBy == 0 && entry.ClosedBelow == 0 {
			records = append(records, cellrecord.DeleteAddress(address))
			continue
		}
		records = append(records, cellrecord.EncodeAddress(address, wire.AddressRecord{OpenedBy: entry.OpenedBy, ClosedBelow: entry.ClosedBelow, Former: entry.Former}))
	}
	return records
}

// loadAddress restores the entry of an address.
func (c *Cell) loadAddress(record damsonwinch.Record, address string) error {
	var saved wire.AddressRecord
	if err := cellrecord.Decode(record, &saved); err != nil {
		return err
	}
	c.addresses.book.Load(c.now, address, addressbook.Entry{OpenedBy: saved.OpenedBy, ClosedBelow: saved.ClosedBelow, Former: slices.Clone(saved.Former)})
	return nil
}

// forgetAddressesInterval is the time between two removals of entries that aren't needed.
const forgetAddressesInterval = 10 * time.Second

// forgetAddresses removes the entries of addresses without jobs that nobody has asked for during EndedJobRetention: a
// client doesn't send a job again that is older, and no node has so old a configuration.
func (c *Cell) forgetAddresses() {
	if c.now.Sub(c.addresses.forgottenAt) < forgetAddressesInterval {
		return
	}
	c.addresses.forgottenAt = c.now
	c.addresses.book.Forget(c.now.Add(-c.options.EndedJobRetention), func(address string) bool { return c.addresses.jobCounts[address] > 0 })
}
