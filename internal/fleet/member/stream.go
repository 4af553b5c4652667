package member

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// memberlistChannel is the channel of memberlist's own streams. Other packages of the fleet use other channels.
	memberlistChannel = 0
	// maxFrame is the maximum length of the payload of a frame, in bytes.
	maxFrame = 64 << 10
	// maxMemberlistStream is the maximum number of bytes that are read from one stream of memberlist. The state of 1,024
	// members takes about 300 KB.
	maxMemberlistStream = 4 << 20
	// frameHeader is the length of the header before each frame, in bytes: one byte for the channel and three for the
	// length of the frame.
	frameHeader = 4
	// channelShift is the position of the channel in a frame's header, in bits.
	channelShift = 24
)

// stream is a connection between members that carries frames. Each frame is a packet with its own header. memberlist
// trusts the lengths that it reads, so it receives only data that a stream has checked.
type stream struct {
	net.Conn
	channel         byte // purpose of the stream, repeated in every frame
	fleet           string
	self            string              // name of this node
	onFrame         func(sender string) // called for each valid frame
	onForeign       func()              // called for a frame that is corrupt or belongs to another fleet
	accepted        bool                // the other side opened the stream; its first frame determines the channel
	unread          []byte              // rest of the last frame's payload
	readBytes       int                 // frame bytes read from a stream of memberlist
	sender          string              // sender of the last frame
	nextWriteNumber uint32              // number of the next frame to write
	nextReadNumber  uint32              // number of the next frame to read
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

// writeFrame writes a payload as one frame.
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

// readFrame reads and checks the next frame. Frames are numbered from 0 and have to arrive in order.
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
	if s.channel == memberlistChannel { // limited by maxMemberlistStream
		s.readBytes += length
	}
	tooLong := length > maxFrame+packetHeader+maxHeaderName || s.readBytes > maxMemberlistStream
	if channel != s.channel || length < packetHeader || tooLong {
		s.onForeign()
		return 0, fmt.Errorf("frame of %d bytes: %w", length, errForeignPacket)
	}
	return length, nil
}

// readFirstFrame waits for the first frame of an accepted stream. memberlist thus receives no connection that sends
// nothing, or nothing of this fleet.
func (s *stream) readFirstFrame(timeout time.Duration) error {
	_ = s.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = s.SetReadDeadline(time.Time{}) }()
	return s.readFrame()
}
