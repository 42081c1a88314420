package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// caller is a client that keeps its connection for many requests. It writes each request once: the client of net/http repeats some by
// itself.
type caller struct {
	address    string
	connection net.Conn
	reader     *bufio.Reader
}

// send sends one request and returns its answer. The headers are lines with their ends.
func (c *caller) send(method, path, id, headers, body string) (status int, stamp, text string, err error) {
	if c.connection == nil {
		if c.connection, err = net.DialTimeout("tcp4", c.address, time.Second); err != nil {
			c.connection = nil

			return 0, "", "", err
		}
		c.reader = bufio.NewReader(c.connection)
	}
	if method != http.MethodGet {
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(c.connection, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\n%s\r\n%s", method, path, host, headID, id, headDeadline,
		headers, body)
	var p *http.Response
	if err == nil {
		_ = c.connection.SetReadDeadline(time.Now().Add(3 * time.Second))
		p, err = http.ReadResponse(c.reader, &http.Request{
			Method: method,
		})
	}
	if err != nil {
		c.close()

		return 0, "", "", err
	}
	content, err := io.ReadAll(p.Body)
	if err != nil || p.Close {
		c.close()
	}

	return p.StatusCode, p.Header.Get(headStamp), string(content), err
}

func (c *caller) close() {
	c.connection.Close()
	c.connection = nil
}
