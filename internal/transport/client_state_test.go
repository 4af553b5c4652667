package transport

import "testing"

// TestClientStateRequests: a connection is idle only while no byte of an unanswered request has been read.
func TestClientStateRequests(t *testing.T) {
	var s clientState
	if !s.idle() || !s.beginRequest() || s.beginRequest() {
		t.Errorf("the first byte of a request is not the first one: %+v", s)
	}
	s.noteRead(false)
	if s.idle() || s.nextStarted || s.request != readingRequest {
		t.Errorf("while a request is read: %+v", s)
	}
	s.completeRequest()
	s.noteRead(false) // behind a complete request any byte is one of the next
	if !s.nextStarted || s.request != requestComplete {
		t.Errorf("behind a complete request: %+v", s)
	}
	s.finishRequest(false)
	if s.idle() || s.request != readingRequest || s.nextStarted || !s.pipelined {
		t.Errorf("a pipelined request has its turn: %+v", s)
	}
	s.finishRequest(false)
	if !s.idle() || s.pipelined {
		t.Errorf("nothing was read behind the last request: %+v", s)
	}
	s.beginRequest()
	s.noteUnread()
	s.finishRequest(false)
	if !s.idle() || !s.pipelined || s.nextUnread {
		t.Errorf("bytes waited behind the request: %+v", s)
	}
}

// TestClientStateClose: a decided close stays decided, and a connection that lingers goes on to do so.
func TestClientStateClose(t *testing.T) {
	var s clientState
	if s.closing() {
		t.Error("a new connection is closing")
	}
	s.decideClose(true)
	if !s.closing() || s.close != connClosing || !s.handedOff {
		t.Errorf("after a hand-off: %+v", s)
	}
	s.startLingering()
	s.decideClose(false)
	s.abort()
	if s.close != connLingering || s.handedOff {
		t.Errorf("a close ends the lingering in the state, too: %+v", s)
	}
}
