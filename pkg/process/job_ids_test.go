package process

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestInvalidJobIDsAreRefused guards against clients that stop a cell by the ID of a job. IDs are keys of the cell's
// records: one that is also the key of another record, or too long for a key, kept the next owner from loading the cell.
func TestInvalidJobIDsAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.submit(jobID(0), standin.Work{Ms: 60_000}, standin.Phase{Count: 1})
	body := []byte(`{"spec":"{\"ms\":10}","phases":[{"count":1}]}`)
	for name, id := range map[string]string{
		"the key of another job's specification": jobID(0) + "/spec",
		"the key of the allowances":              "allowances",
		"the key of an endpoint":                 "endpoint/e",
		"the key of a queue's statistics":        "learned/payslips",
		"longer than a key":                      strings.Repeat("a", 300),
		"one digit too many":                     jobID(0) + "0",
		"a digit too few":                        jobID(0)[1:],
		"dots, as in names of tasks":             "00000000.0.0.000",
		"no hex digits":                          "0123456789abcdeg",
		"no text":                                "\xff\xfe0123456789abcd",
	} {
		for method, want := range map[string]int{http.MethodPost: http.StatusBadRequest, http.MethodGet: http.StatusGone, http.MethodDelete: http.StatusGone} {
			status, reply, err := c.client.Do(context.Background(), method, c.clientAddress(0), testHost, testPrefix+url.PathEscape(id), body)
			assert.NilError(t, err)
			assert.Check(t, status == want, "%s, %s: status %d, %s", name, method, status, reply)
		}
	}
	status, reply, err := c.client.Do(context.Background(), http.MethodPost, c.clientAddress(0), testHost, testPrefix, body)
	assert.NilError(t, err)
	assert.Check(t, status == http.StatusBadRequest, "no ID: status %d, %s", status, reply)
	c.submit("5C0E7A21D94B36F8", standin.Work{Ms: 60_000}, standin.Phase{Count: 1})

	c.killNode(0)
	c.startNode(0)
	for _, id := range []string{jobID(0), "5C0E7A21D94B36F8"} {
		c.waitUntil("the next owner knows job "+id, func() bool { return c.jobState(id) == "running" })
	}
}
