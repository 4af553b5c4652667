package budget

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// seatFile is the name of the file in a node's directory that stores the home's seat.
const seatFile = "seat.json"

// privateFileMode is the mode of files that a node stores: only its user may read and write them.
const privateFileMode = 0o600

// storedSeat is the content of seatFile.
type storedSeat struct {
	Home     string             `json:"home"`
	Seat     int                `json:"seat"`
	Reserved map[string]float64 `json:"kept"` // the seat's parts of the reserves, by quota
}

// readSeat reads the stored seat of a home. It returns the zero value if the file is unreadable, belongs to another
// home or has an invalid seat: the leader then returns the seat from the ledger.
func (s *Service) readSeat(home string) storedSeat {
	data, err := os.ReadFile(filepath.Join(s.config.Directory, seatFile))
	if err != nil {
		return storedSeat{}
	}
	var stored storedSeat
	err = json.Unmarshal(data, &stored)
	if err != nil || stored.Home != home || stored.Seat < 1 || stored.Seat > s.config.Terms.Seats {
		return storedSeat{}
	}
	return stored
}

// storeSeat applies and stores a seat in a response; 0: none. It ignores the seat if the terms have changed since the
// request. The ledger never assigns the seat to another home.
func (s *Service) storeSeat(seat int, terms string) {
	if seat < 1 || seat > s.config.Terms.Seats {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil || terms != termsText(s.config.Quotas, s.config.Terms) {
		return
	}
	if s.seat == seat && s.holder.hasFullReserve() {
		return
	}
	s.seat = seat
	reserved := s.holder.SetReserves(s.holder.SeatReserves())
	data, err := json.Marshal(storedSeat{Home: s.home, Seat: seat, Reserved: reserved})
	if err == nil {
		err = os.WriteFile(filepath.Join(s.config.Directory, seatFile), data, privateFileMode)
	}
	if err != nil { // after the next start, the process requests the seat again
		s.config.Log.Warn("fleet budget", "reason", "seat-not-kept", "why", err.Error())
	}
}
