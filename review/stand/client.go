package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	hostName  = "ficu95.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
)

// request is one client attempt.
type request struct {
	method, path, id string
	wait             time.Duration
	// parts is the list of the prompt's parts, or empty.
	parts string
}

// answer is what a client got.
type answer struct {
	sent, ended time.Time
	status      int
	header      http.Header
	body        string
	// first is when the first byte of the body arrived, or zero.
	first time.Time
	// noChannel is set if no channel could be opened.
	noChannel bool
	// err is set if the channel ended without a complete answer.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %.0f ms (status %d, %d bytes of the body): %v", float64(a.ended.Sub(a.sent).Milliseconds()), a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d after %.0f ms, %d bytes, signature %q", a.status, float64(a.ended.Sub(a.sent).Milliseconds()), len(a.body), a.header.Get("X-Response-Signature"))
}

// call sends a request on a new channel.
func call(address string, r request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		now := time.Now()
		return answer{sent: now, ended: now, err: err, noChannel: true}
	}
	defer c.Close()
	return callOn(c, r)
}

// callOn sends a request on an open channel and reads its answer.
func callOn(c net.Conn, r request) answer {
	a := answer{sent: time.Now()}
	body := ""
	if r.method == http.MethodPost {
		body = "{}"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Request-Timeout-Ms: %d\r\n", r.method, r.path, hostName, r.id, clientKey, r.wait.Milliseconds())
	if r.parts != "" {
		text += "X-Model: m0\r\nX-Token-Count: 60,20\r\nX-Prefix-Hash: " + r.parts + "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(r.wait))
	defer func() { a.ended = time.Now() }()
	if _, a.err = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", text, len(body), body)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		a.ended = time.Now()
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && a.first.IsZero() {
			a.first = time.Now()
		}
		a.body += string(buf[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.ended = time.Now()
	return a
}
