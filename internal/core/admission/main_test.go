package admission

import (
	"testing"

	"ryecourse.example/ryecourse/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 3000) }
