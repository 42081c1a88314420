//go:build review3

package main

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ports are those of a machine to which others connect.
var ports = []int{7660, 8140, 8143, 8144, 8146}

// silentCase: all machines lose power at once, some come back at once, and the others don't answer any more.
func silentCase(s *site) (int, error) {
	const back = 3
	s.configure()
	if err := s.startPlain(deskCount); err != nil {
		return failed, err
	}
	for n := range engineCount {
		w, err := s.startWorker(fmt.Sprintf("i-llm-%d", n+1), service, 1, 8)
		if err != nil {
			return failed, err
		}
		w.gap = eventGap
		w.events = longSheet(sheetEvents)
	}
	if err := s.startEdges(edgeCount); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	sent := map[string][]item{}
	for n := range edgeCount {
		job := fmt.Sprintf("7c41e09b%04x52d6", n)
		items := sheets(job, 10)
		if err := s.submit(job, n, items); err != nil {
			return failed, err
		}
		sent[job] = items
	}
	if s.trouble {
		if err := s.losePower(back); err != nil {
			return failed, err
		}
	}
	// The traffic goes on for some seconds.
	last := "7c41e09bffff52d6"
	time.Sleep(6 * time.Second)
	items := sheets(last, 10)
	if err := s.submit(last, 0, items); err != nil {
		return failed, err
	}
	sent[last] = items

	return s.judgeLost(sent)
}

// losePower kills all instances at once and starts the first ones again; the others are lost for good, and their machines drop what comes.
func (s *site) losePower(back int) error {
	s.note("all machines lose power")
	for _, e := range s.edges {
		s.signal(e, syscall.SIGKILL)
	}
	for _, e := range s.edges {
		<-e.ended
	}
	for _, e := range s.edges[back:] {
		for _, p := range ports {
			if err := dropAll(e.ip, p); err != nil {
				return err
			}
		}
		s.note("%s stays without power: connections to it hang", e.name)
	}
	time.Sleep(700 * time.Millisecond)
	s.edges = s.edges[:back]
	for _, e := range s.edges {
		if err := s.start(e); err != nil {
			return err
		}
		s.note("%s is back", e.name)
	}

	return nil
}

// dropAll makes a port of an address drop datagrams and connections, like a machine without power: a socket that nobody reads, and a listener
// that accepts nothing and whose queue is full.
func dropAll(ip string, port int) error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	address := &unix.SockaddrInet4{
		Port: port,
	}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, address), unix.Listen(fd, 0)); err != nil {
		return err
	}
	if _, err := net.ListenPacket("udp4", net.JoinHostPort(ip, strconv.Itoa(port))); err != nil {
		return err
	}
	for n := range 8 {
		if _, err := net.DialTimeout("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)), 150*time.Millisecond); err != nil && n > 0 {
			return nil
		}
	}

	return errors.New(ip + " still accepts connections")
}
