package live

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the node's program, from the source tree in which this runs, and
// returns its path, in dir.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "olivebridge")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "olivebridge/cmd/olivebridge").CombinedOutput()
	if err == nil {
		return path, nil
	}
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	if text := strings.TrimSpace(string(out)); text != "" {
		err = fmt.Errorf("%s", strings.ReplaceAll(text, "\n", "; "))
	}
	return "", fmt.Errorf("building the node: %w (run in the source tree, or name a program)", err)
}

// Program checks that a path is one of a program that can be run.
func Program(path string) error {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return err
	case info.IsDir() || info.Mode()&0o111 == 0:
		return fmt.Errorf("%s: not a program", path)
	}
	return nil
}
