package member

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// memberlistChannel is the channel of memberlist's own streams; other packages of the fleet have channels of their
	// own.
	memberlistChannel = 0
	// maxFrame bounds the payload of a frame of a stream, in bytes.
	maxFrame = 64 << 10
	// maxMemberlistStream bounds what is read of one of memberlist's streams, in bytes: 1,024 members take about 300 KB.
	maxMemberlistStream = 4 << 20
	// frameHeader is the length of what stands before each frame: one byte of channel, three of the frame's length.
	frameHeader = 4
	// channelShift is where the channel stands in a frame's header.
	channelShift = 24
)

// stream is a connection between members that carries frames, each a packet with its header: memberlist trusts the
// lengths that it reads, so it is given nothing that was not checked.
type stream struct {
	net.Conn
	channel         byte // what the stream is for, which every frame repeats
	fleet           string
	self            string              // name of this node
	onFrame         func(sender string) // is called for each frame
	onForeign       func()              // is called for a frame of another fleet, or a corrupt one
	accepted        bool                // the other side opened the stream, and its first frame says for which channel
	unread          []byte              // of the last frame
	readBytes       int
	sender          string // of the last frame
	nextWriteNumber uint32 // number of the next frame to write
	nextReadNumber  uint32 // number of the next frame to read
}

// Write implements net.Conn.
func (s *stream) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		part := b[:min(len(b), maxFrame)]
		if err := s.writeFrame(part); err != nil {
			return written, err
		}
		written += len(part)
		b = b[len(part):]
	}
	return written, nil
}

func (s *stream) writeFrame(payload []byte) error {
	packet := encodePacket(s.fleet, s.self, s.nextWriteNumber, payload)
	s.nextWriteNumber++
	frame := make([]byte, 0, frameHeader+len(packet))
	frame = binary.BigEndian.AppendUint32(frame, uint32(s.channel)<<channelShift|uint32(len(packet)))
	_, err := s.Conn.Write(append(frame, packet...))
	return err
}

// Read implements net.Conn.
func (s *stream) Read(b []byte) (int, error) {
	if len(s.unread) == 0 {
		if err := s.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// readFrame reads the next frame. Frames come in order, from the first.
func (s *stream) readFrame() error {
	length, err := s.readFrameHeader()
	if err != nil {
		return err
	}
	packet := make([]byte, length)
	if _, err := io.ReadFull(s.Conn, packet); err != nil {
		return err
	}
	s.unread = nil
	nameEnd := int(packet[nameOffset]) + packetHeader
	number := binary.BigEndian.Uint32(packet[numberOffset:])
	if !validHeader(s.fleet, packet) || nameEnd > length || number != s.nextReadNumber {
		s.onForeign()
		return errForeignPacket
	}
	s.nextReadNumber++
	s.unread = packet[nameEnd:]
	s.sender = string(packet[packetHeader:nameEnd])
	s.onFrame(s.sender)
	return nil
}

// readFrameHeader reads the header of the next frame, and returns the frame's length, which is at least packetHeader.
func (s *stream) readFrameHeader() (int, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(s.Conn, header[:]); err != nil {
		return 0, err
	}
	channel := header[0]
	header[0] = 0
	length := int(binary.BigEndian.Uint32(header[:]))
	if s.nextReadNumber == 0 && s.accepted {
		s.channel = channel
	}
	if s.channel == memberlistChannel { // whose exchanges are bounded
		s.readBytes += length
	}
	tooLong := length > maxFrame+packetHeader+maxHeaderName || s.readBytes > maxMemberlistStream
	if channel != s.channel || length < packetHeader || tooLong {
		s.onForeign()
		return 0, fmt.Errorf("a piece of %d bytes: %w", length, errForeignPacket)
	}
	return length, nil
}

// readFirstFrame waits for the first frame of a stream that was accepted, so that memberlist gets no connection that
// says nothing, or nothing of this fleet.
func (s *stream) readFirstFrame(timeout time.Duration) error {
	_ = s.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = s.SetReadDeadline(time.Time{}) }()
	return s.readFrame()
}
