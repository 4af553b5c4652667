package registry

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// garble returns a response body that no reader may accept as a list. The HTTP
// framing of the response stays valid, so only the body shows the fault.
func garble(draws *rand.Rand, l list) []byte {
	body := l.json()
	switch draws.IntN(6) {
	case 0: // truncated JSON
		return body[:1+draws.IntN(len(body)-1)]
	case 1: // the version as a string
		number := fmt.Appendf(nil, "%d", l.Version)
		return bytes.Replace(body, number, fmt.Appendf(nil, "%q", number), 1)
	case 2: // an object in place of the array of entries
		return fmt.Appendf(nil, `{"version":%d,"full":%t,"servers":{"count":1}}`, l.Version, l.Full)
	case 3: // no entries field
		return fmt.Appendf(nil, `{"version":%d,"full":%t}`, l.Version, l.Full)
	case 4: // the error page of another server
		return []byte("<html><body><h1>Bad Gateway</h1></body></html>\n")
	default: // an entry without an id, before all others
		invalidEntry := `{"addr":"203.0.113.9:9000","zone":"a","state":"Ready","weight":1,"started_ms":0}`
		if len(l.Servers) > 0 {
			invalidEntry += ","
		}
		return bytes.Replace(body, []byte(`"servers":[`), []byte(`"servers":[`+invalidEntry), 1)
	}
}
