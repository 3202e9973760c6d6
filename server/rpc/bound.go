package rpc

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxMessageBytes is five times a configuration with 15,000 organisations.
	maxMessageBytes = 16 << 20
	// largeMessageBytes is the size above which messages count as large.
	largeMessageBytes = 1 << 20
	// maxLargeMessages is the number of large messages that a process reads at the same time.
	maxLargeMessages = 4
	// largeMessageTimeout bounds the time in which a large message arrives.
	largeMessageTimeout = 10 * time.Second
	// maxLengthBytes is the number of bytes that gob's longest length has.
	maxLengthBytes = 8
)

var (
	errMessageTooLarge = errors.New("RPC message exceeds the size limit")
	errMalformedLength = errors.New("RPC message has a malformed length")
	errTooManyLarge    = errors.New("too many large RPC messages at this moment")
)

// largeMessages counts the large messages that are being read.
var largeMessages atomic.Int32

// boundedConn is a connection that fails before a message that is too large, or large while
// too many others are: gob's decoder takes memory for whatever length a message announces.
//
// gob precedes each message with its length: one byte up to 127, or the negated number of
// bytes that follow and hold it, the most significant first.
type boundedConn struct {
	net.Conn
	remaining   uint64      // Bytes of the current message that have not arrived yet.
	lengthBytes int         // Bytes of the next message's length that have not arrived yet.
	length      uint64      // The part of the length that has arrived.
	isLarge     atomic.Bool // The current message is counted in largeMessages.
}

func (c *boundedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if invalid := c.follow(buffer[:n]); invalid != nil {
		err = invalid
		n = 0
	}
	if err != nil {
		c.endLarge()
	}
	return n, err
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.endLarge()
	return err
}

// follow keeps track of the messages in the bytes.
func (c *boundedConn) follow(data []byte) error {
	for len(data) > 0 {
		if c.remaining > 0 {
			skipped := min(uint64(len(data)), c.remaining)
			data, c.remaining = data[skipped:], c.remaining-skipped
			if c.remaining == 0 {
				c.endLarge()
			}
			continue
		}
		next := data[0]
		data = data[1:]
		switch {
		case c.lengthBytes > 0:
			c.length, c.lengthBytes = c.length<<8|uint64(next), c.lengthBytes-1
		case next <= 0x7f:
			c.length = uint64(next)
		default:
			c.length, c.lengthBytes = 0, 256-int(next)
		}
		if c.lengthBytes > maxLengthBytes {
			return errMalformedLength
		}
		if c.lengthBytes == 0 {
			if err := c.begin(c.length); err != nil {
				return err
			}
		}
	}
	return nil
}

// begin begins a message of that many bytes.
func (c *boundedConn) begin(length uint64) error {
	if length > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes, %d allowed", errMessageTooLarge, length, maxMessageBytes)
	}
	c.remaining = length
	if length <= largeMessageBytes {
		return nil
	}
	if largeMessages.Add(1) > maxLargeMessages {
		largeMessages.Add(-1)
		return errTooManyLarge
	}
	c.isLarge.Store(true)
	return c.SetReadDeadline(time.Now().Add(largeMessageTimeout))
}

// endLarge ends a large message, if there is one.
func (c *boundedConn) endLarge() {
	if c.isLarge.CompareAndSwap(true, false) {
		largeMessages.Add(-1)
		_ = c.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
	}
}
