package member

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// writeFileAtomically replaces a file with a value encoded as JSON. A reader gets either the complete old content or
// the complete new content, even after a power failure.
func writeFileAtomically(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	tempPath := path + ".new"
	if err := writeAndSync(tempPath, append(data, '\n')); err != nil {
		return err
	}
	if err := os.Rename(tempPath, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// writeAndSync writes a file and flushes it to disk.
func writeAndSync(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, privateFile)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
