package peer

import (
	"container/list"
	"time"

	"olivebridge/internal/lab/world"
)

// cache holds the recently used keys of a process. Calls with these keys cost less work.
type cache struct {
	gain      float64 // share of the work that a cached key saves
	retention time.Duration
	maxKeys   int
	keys      map[string]*list.Element // elements hold a cacheEntry
	order     *list.List               // most recently used first
}

type cacheEntry struct {
	key    string
	usedAt time.Duration
}

func newCache(c world.Peer) cache {
	return cache{
		gain: c.CacheGain, retention: c.CacheFor.D(), maxKeys: c.CacheKeys,
		keys: map[string]*list.Element{}, order: list.New(),
	}
}

// workShare returns the share of its usual work that a call with the key costs now.
func (c *cache) workShare(key string, now time.Duration) float64 {
	if e := c.keys[key]; e != nil && now-e.Value.(cacheEntry).usedAt <= c.retention {
		return 1 - c.gain
	}
	return 1
}

// touch marks a key as used now. If there are more than maxKeys keys, it evicts the
// least recently used one.
func (c *cache) touch(key string, now time.Duration) {
	if key == "" || c.maxKeys <= 0 {
		return
	}
	if e := c.keys[key]; e != nil {
		e.Value = cacheEntry{key, now}
		c.order.MoveToFront(e)
		return
	}
	c.keys[key] = c.order.PushFront(cacheEntry{key, now})
	if c.order.Len() > c.maxKeys {
		delete(c.keys, c.order.Remove(c.order.Back()).(cacheEntry).key)
	}
}
