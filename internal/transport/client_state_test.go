package transport

import "testing"

// TestClientStateRequests: a connection is idle only while no byte of an unanswered request has been read.
func TestClientStateRequests(t *testing.T) {
	var s clientState
	if !s.idle() || !s.beginRequest() || s.beginRequest() {
		t.Errorf("beginRequest must report true exactly once, on an idle connection: %+v", s)
	}
	s.noteRead(false)
	if s.idle() || s.nextStarted || s.request != readingRequest {
		t.Errorf("state while a request is being read: %+v", s)
	}
	s.completeRequest()
	s.noteRead(false) // any byte after a complete request belongs to the next one
	if !s.nextStarted || s.request != requestComplete {
		t.Errorf("state after bytes that follow a complete request: %+v", s)
	}
	s.finishRequest(false)
	if s.idle() || s.request != readingRequest || s.nextStarted || !s.pipelined {
		t.Errorf("state when a pipelined request becomes current: %+v", s)
	}
	s.finishRequest(false)
	if !s.idle() || s.pipelined {
		t.Errorf("state after the last request, with nothing read after it: %+v", s)
	}
	s.beginRequest()
	s.noteUnread()
	s.finishRequest(false)
	if !s.idle() || !s.pipelined || s.nextUnread {
		t.Errorf("state after a request with unread bytes after it: %+v", s)
	}
}

// TestClientStateClose: a decided close cannot be revoked, and a connection that lingers continues to linger.
func TestClientStateClose(t *testing.T) {
	var s clientState
	if s.closing() {
		t.Error("a new connection reports that it is closing")
	}
	s.decideClose(true)
	if !s.closing() || s.close != connClosing || !s.handedOff {
		t.Errorf("state after a decided hand-off: %+v", s)
	}
	s.startLingering()
	s.decideClose(false)
	s.abort()
	if s.close != connLingering || s.handedOff {
		t.Errorf("a further close must keep connLingering and clear handedOff: %+v", s)
	}
}
