package offer

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/ptest"
)

func TestMain(m *testing.M) { ptest.Main(m) }
