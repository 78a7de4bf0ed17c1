package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are below the system's ephemeral range, so that no outgoing connection takes one between its choice and its use.
const (
	firstPort = 12_000
	portCount = 18_000
)

// given holds the addresses that were given out. None is given twice.
var given sync.Map

// freeAddress returns an address of a loopback IP whose port is free for TCP and UDP.
func freeAddress(ip string) string {
	for {
		address := fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address
		}
	}
}
