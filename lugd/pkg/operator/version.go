package operator

import (
	"fmt"
	"strconv"
)

func parseVersion(txt string) (uint64, error) {
	version, err := strconv.ParseUint(txt, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%q is not a version number", txt)
	}
	return version, nil
}
