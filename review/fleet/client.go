package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"damsonwinch/platform/standin"
)

// ClientDeadline is how long a client waits for an answer.
const ClientDeadline = 3 * time.Second

// Answer is what a client got for a call. Status is 0 if it got no answer.
type Answer struct {
	Status int
	State  string
}

// Submit sends a job whose tasks take the given time each.
func (f *Fleet) Submit(n *Node, queue standin.Queue, job string, taskTime time.Duration, phases ...standin.Phase) Answer {
	return f.SubmitRepeated(n, queue, job, taskTime, Schedule{}, phases...)
}

// Schedule says when the times of a repeated job fall due. The zero value is that of a job without times.
type Schedule struct {
	StartAt  time.Time
	Interval time.Duration
	Times    int
}

// SubmitRepeated sends a job like Submit, whose steps run at several times.
func (f *Fleet) SubmitRepeated(n *Node, queue standin.Queue, job string, taskTime time.Duration, schedule Schedule, phases ...standin.Phase) Answer {
	f.setNeeds(job, phases)
	content := map[string]any{"spec": strconv.FormatInt(taskTime.Milliseconds(), 10), "phases": phases}
	if schedule.Times > 0 {
		content["start_at_ms"], content["interval_ms"], content["repeat_count"] = schedule.StartAt.UnixMilli(), schedule.Interval.Milliseconds(), schedule.Times
	}
	body, err := json.Marshal(content)
	if err != nil {
		return Answer{}
	}
	return f.call(n, http.MethodPost, queue, job, body)
}

// State asks for a job's state.
func (f *Fleet) State(n *Node, queue standin.Queue, job string) Answer {
	return f.call(n, http.MethodGet, queue, job, nil)
}

// Cancel cancels a job.
func (f *Fleet) Cancel(n *Node, queue standin.Queue, job string) Answer {
	return f.call(n, http.MethodDelete, queue, job, nil)
}

// call makes a client's call on a connection of its own.
func (f *Fleet) call(n *Node, method string, queue standin.Queue, job string, body []byte) Answer {
	client := f.NewClient()
	defer client.Close()
	return client.Call(n, method, queue, job, body)
}

// Client is a client that keeps its connection open.
type Client struct {
	fleet *Fleet
	http  *http.Client
}

// NewClient returns a client without a connection.
func (f *Fleet) NewClient() *Client {
	return &Client{fleet: f, http: &http.Client{Timeout: ClientDeadline, Transport: &http.Transport{}}}
}

// Close closes the connection.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Call makes a call to a node and records it.
func (c *Client) Call(n *Node, method string, queue standin.Queue, job string, body []byte) Answer {
	request, err := http.NewRequest(method, "http://"+n.Front+queue.PathPrefix+job, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	request.Host = queue.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Damsonwinch-Deadline-Ms", strconv.FormatInt(ClientDeadline.Milliseconds(), 10))
	record := c.fleet.Record
	record.Note("client  %s %s%s to %s %s", method, queue.PathPrefix, job, n.Name, body)
	response, err := c.http.Do(request)
	if err != nil {
		record.Note("client  %s %s gets no answer: %v", method, job, err)
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		record.Note("client  %s %s gets no whole answer: %v", method, job, err)
		return Answer{}
	}
	record.Note("client  %s %s gets %d %s", method, job, response.StatusCode, text)
	answer := Answer{Status: response.StatusCode}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &state) == nil {
		answer.State = state.State
	}
	return answer
}
