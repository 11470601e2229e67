package main

import (
	"bytes"
	"io"
	"maps"
	"net/http"
)

// storeProxy passes calls on to the store. beforeAnswer is called with each call that the store has carried out, before its
// answer is passed back.
type storeProxy struct {
	store        string
	client       http.Client
	beforeAnswer func(call *http.Request, body []byte)
}

// ServeHTTP implements http.Handler.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.store+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	maps.Copy(call.Header, r.Header)
	response, err := p.client.Do(call)
	if err != nil {
		// The caller has given up, or the store is closed.
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	p.beforeAnswer(r, body)
	maps.Copy(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	// A caller that has gone needs no answer.
	_, _ = w.Write(text)
}
