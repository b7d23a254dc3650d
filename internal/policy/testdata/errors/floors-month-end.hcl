fleet {
  requests { rate = 100 }
  book "kalahari-core" {
    requests {
      floor = 50
      at {
        last_days = 2
        floor     = 80
      }
    }
  }
  book "*" {
    requests { floor = 30 }
  }
}
